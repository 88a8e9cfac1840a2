// Command wasabifieldd is an entry host.
package main

func main() {}
