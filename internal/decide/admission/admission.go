// Package admission decides whether a new program may start while the engines of a service are busy.
//
// Engines that run more turns than they have slots for delay all programs, and each program that starts brings further
// turns. So new programs wait, or are refused in time to try elsewhere, as soon as the turns of started programs fill
// the slots.
package admission

// Load is what a daemon knows of the load when a new program asks to start.
type Load struct {
	// Slots is how many turns the engines run at once.
	Slots int
	// Started is how many turns of started programs run or wait at all daemons, at the level of the new program and at
	// more urgent ones.
	Started int
	// Organisations is how many organisations have turns of started programs at this daemon and level, OwnTotal the
	// number of those turns, and OfOrganisation how many of them are of the new program's organisation.
	Organisations, OwnTotal, OfOrganisation int
}

// MayStart reports whether a new program may take a slot. While started programs fill the slots, it may only if its
// organisation has fewer turns here than the mean of those that have any: the surge of one organisation must not keep
// the others from starting.
func MayStart(l Load) bool {
	if l.Started < l.Slots {
		return true
	}
	return l.Organisations > 1 && l.OfOrganisation*l.Organisations < l.OwnTotal
}
