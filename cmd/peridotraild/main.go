// Command peridotraild is part of peridotrail.
package main

func main() {}
