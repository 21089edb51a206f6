package tillerlink.net.state;

import tillerlink.port.EndpointListState;

/**
 * The version and state of the endpoint list in force, as logged by other classes. {@link
 * EndpointList} sets the version, {@link EndpointListWatch} the state. Confined to the event-loop
 * thread.
 */
final class EndpointListStatus {
  private long version;
  private EndpointListState state = EndpointListState.AWAITED;

  /** Returns the serial of the newest complete watch event that was applied. */
  long version() {
    return version;
  }

  void setVersion(long newVersion) {
    version = newVersion;
  }

  /** Returns whether, and with which restrictions, the list may be used for new attempts. */
  EndpointListState state() {
    return state;
  }

  void setState(EndpointListState newState) {
    state = newState;
  }
}
