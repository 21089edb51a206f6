package tillerlink.net.state;

import tillerlink.port.EndpointListState;

/**
 * Version and state of the endpoint list in force, for whoever logs them. {@link EndpointList}
 * writes the version, {@link EndpointListWatch} the state. Owned by the event-loop thread.
 */
final class EndpointListStatus {
  private long version;
  private EndpointListState state = EndpointListState.AWAITED;

  /** Number of the newest complete watch event. */
  long version() {
    return version;
  }

  void setVersion(long newest) {
    version = newest;
  }

  /** How far the list may be used. */
  EndpointListState state() {
    return state;
  }

  void setState(EndpointListState now) {
    state = now;
  }
}
