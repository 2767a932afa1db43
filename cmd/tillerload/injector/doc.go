// Package injector brings one fault about in an embedded fleet and takes it back.
package injector
