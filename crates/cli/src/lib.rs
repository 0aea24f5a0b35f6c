//! The programs trefoilring and trefoilctl.
