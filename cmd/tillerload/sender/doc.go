// Package sender sends planned queries to daemons at their intended times, whether or not earlier ones
// were answered, and measures from the intended start of each.
package sender
