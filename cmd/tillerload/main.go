// Command tillerload is a program of carawaytiller.
package main

func main() {}
