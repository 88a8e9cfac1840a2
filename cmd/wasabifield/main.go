// Command wasabifield is the operators' tool.
package main

func main() {}
