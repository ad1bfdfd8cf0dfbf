// Command peridotrailctl is part of peridotrail.
package main

func main() {}
