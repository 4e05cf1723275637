package link

// Origin is the time from which windows of a Transit count.
var Origin = origin
