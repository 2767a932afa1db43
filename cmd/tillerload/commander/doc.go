// Package commander is the command line of tillerload. Results go to standard output, progress, logs and errors to
// standard error.
package commander
