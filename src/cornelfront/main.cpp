int
main()
{
}
