// Command cassialatchd is part of cassialatch.
package main

func main() {}
