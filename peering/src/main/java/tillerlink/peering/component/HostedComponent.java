package tillerlink.peering.component;

import tillerlink.cluster.ClusterComponent;
import tillerlink.net.state.GatewayExtension;
import tillerlink.net.wire.HttpRequest;

/**
 * A component of the shared state in a gateway's process, with its HTTP interface. All methods are
 * called by the event loop's thread, and never before the component was notified of a pause of the
 * process. Times are tenths of a millisecond: {@code now} by the gateway's monotonic clock, {@code
 * wall} by the machine's clock.
 */
public interface HostedComponent {
  /**
   * The number that messages to it bear, from 2 to 255 (1 is for the members); the same in every
   * release, and no other component's.
   */
  int number();

  /** The state machine that messages and time are passed to. */
  ClusterComponent component();

  /** Whether requests for that path (without a query) are its own. */
  boolean handlesPath(String path);

  /**
   * A client's request for such a path, of any method. It is answered once, now or in a later
   * event-loop iteration.
   */
  void onRequest(long now, long wall, HttpRequest request, GatewayExtension.Reply reply);

  /**
   * At the end of every event-loop iteration, so at least ten times a second: requests whose
   * outcome is known by now, or whose time is up, are answered.
   */
  default void onIterationEnd(long now, long wall) {
    // A component that answers at once has nothing to do.
  }

  /** The process was told to end; some iterations follow. */
  default void onDrain(long now, long wall) {
    // Without state at other gateways there is nothing to hand over.
  }

  /**
   * Requests that are still open are answered now; later their clients are not reached any more.
   */
  default void onShutdownDeadline(long now, long wall) {
    // A component that answers at once has no open requests.
  }

  /** No iteration follows, and no attempt is sent any more: its last messages to others. */
  default void close(long now, long wall) {
    // Without anything held at other gateways there is nothing to release.
  }
}
