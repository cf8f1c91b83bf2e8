// Command cassialatch is part of cassialatch.
package main

func main() {}
