package chestnutstep

// classNames are the names of the classes in a profile, by class.
var classNames = [ClassCount]string{"urgent", "normal", "batch"}

// String returns the class's name in a profile.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "unknown"
}

// ParseClass finds a class by its name in a profile.
func ParseClass(name string) (Class, bool) {
	for i, n := range classNames {
		if n == name {
			return Class(i), true
		}
	}
	return ClassNormal, false
}
