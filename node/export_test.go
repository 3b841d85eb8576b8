package node

// FreeAddr and OwnHost give the tests outside the package addresses that no other
// process takes.
var (
	FreeAddr = freeAddr
	OwnHost  = ownHost
)
