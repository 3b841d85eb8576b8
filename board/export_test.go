package board

// DownMost is the longest time for which a target is left alone, for tests.
const DownMost = downMost
