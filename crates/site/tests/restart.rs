//! Restarts of all hosts at the same moment.

#[allow(dead_code)] // Other test files use the rest.
mod support;

use {
    support::{TEST_TIMEOUT, caller, create, options, turn},
    trefoilring_site::Site,
};

#[test]
fn hosts_that_are_killed_together_serve_again() {
    smol::block_on(async {
        let mut site = Site::start(options(), TEST_TIMEOUT).await.unwrap();
        let caller = caller();
        let program = create(&caller, site.addresses()[0]).await;
        let reply = turn(&caller, site.addresses()[1], &program, "before", "hello").await;
        assert!(reply.is_success(), "{reply:?}");
        let specs = options().hosts;
        for spec in &specs {
            site.remove_host(&spec.host).expect("the host runs").abort();
        }
        for spec in &specs {
            site.start_host(spec).unwrap();
        }
        let is_ready = |site: &Site| site.hosts().values().all(|host| host.is_ready());
        site.wait_until(TEST_TIMEOUT, "all hosts ready", is_ready).await.unwrap();
        let reply = turn(&caller, site.addresses()[2], &program, "after", "hello again").await;
        assert!(reply.is_success(), "{reply:?}");
        site.stop().await;
    });
}
