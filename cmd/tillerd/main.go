// Command tillerd is a program of carawaytiller.
package main

func main() {}
