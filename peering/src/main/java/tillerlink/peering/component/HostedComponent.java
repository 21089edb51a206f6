package tillerlink.peering.component;

import tillerlink.cluster.ClusterComponent;
import tillerlink.net.state.GatewayExtension;
import tillerlink.net.wire.HttpRequest;

/**
 * A component of the shared state in a gateway's process, with its HTTP interface. All methods are
 * called by the event loop's thread. After a pause of the process the component is notified of the
 * pause before any other call. Times are tenths of a millisecond: {@code now} is read from the
 * gateway's monotonic clock, {@code wall} from the wall clock.
 */
public interface HostedComponent {
  /**
   * Returns the number that identifies the component in messages between gateways.
   *
   * @return 2 to 255 (1 is the membership); unique and the same in every release
   */
  int number();

  /** Returns the state machine that receives messages and ticks. */
  ClusterComponent component();

  /**
   * Returns whether the component handles requests for a path.
   *
   * @param path the path without a query
   */
  boolean handlesPath(String path);

  /**
   * Handles a client's request of any method for one of the component's paths. The component
   * answers it exactly once, in this call or in a later event-loop iteration.
   */
  void onRequest(long now, long wall, HttpRequest request, GatewayExtension.Reply reply);

  /**
   * Called at the end of every event-loop iteration, and therefore at least ten times a second.
   * Answers requests whose outcome is known or whose deadline has passed.
   */
  default void onIterationEnd(long now, long wall) {
    // A component that answers requests immediately has nothing to do.
  }

  /** Called when the process starts to shut down. More iterations follow. */
  default void onDrain(long now, long wall) {
    // A component without state at other gateways has nothing to transfer.
  }

  /**
   * Answers all requests that are still pending, because responses can't be sent to clients after
   * this call.
   */
  default void onShutdownDeadline(long now, long wall) {
    // A component that answers requests immediately has no pending requests.
  }

  /**
   * Sends the component's last messages to other gateways. No iteration follows, and no further
   * attempt is sent.
   */
  default void close(long now, long wall) {
    // A component without leases or other state at other gateways has nothing to release.
  }
}
