// Package reducer makes the decisions of a daemon. Step applies one Event to the State and returns
// the resulting Effects as data; it reads no clock, socket or random source. Times, in milliseconds,
// and random numbers come with the events.
package reducer
