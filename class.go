package chestnutstep

// classNames holds the names of the classes as written in a profile, indexed by class.
var classNames = [ClassCount]string{"urgent", "normal", "batch"}

// String returns the name of the class as written in a profile.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "unknown"
}

// ParseClass returns the class with the given name, and false if no class has it.
func ParseClass(name string) (Class, bool) {
	for i, n := range classNames {
		if n == name {
			return Class(i), true
		}
	}
	return ClassNormal, false
}
