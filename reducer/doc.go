// Package reducer decides what a daemon does. Step takes the State and one Event
// and returns Effects as data; it reads no clock, socket or random source.
// Times are in milliseconds and arrive in the events, as do random numbers.
package reducer
