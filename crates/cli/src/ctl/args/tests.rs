#[test]
fn the_command_definition_is_consistent() {
    super::command().debug_assert();
}
