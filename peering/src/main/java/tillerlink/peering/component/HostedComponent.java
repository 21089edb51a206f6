package tillerlink.peering.component;

import tillerlink.cluster.ClusterComponent;
import tillerlink.net.state.GatewayExtension;
import tillerlink.net.wire.HttpRequest;

/**
 * A part of the shared state as it hangs on a gateway's process: its machine, and what clients
 * call. All of it is called in turns of the one thread. Before any call its machine was told if the
 * process had been away.
 */
public interface HostedComponent {
  /** What messages to it bear, 2 to 255; the same in every release, and no other part's. */
  int number();

  ClusterComponent machine();

  /** Whether calls of that path are its own; the path has nothing behind a question mark. */
  boolean takes(String path);

  /**
   * A client's call of such a path, of whatever method. It is answered once, now or in a later
   * turn.
   */
  void called(long now, long wall, HttpRequest call, GatewayExtension.Reply reply);

  /**
   * At the end of every turn, so ten times a second at the least: calls that the machine settled,
   * or whose time is up, are answered.
   */
  default void settled(long now, long wall) {
    // Whoever answers at once has nothing to do.
  }

  /** The process goes; some turns follow. */
  default void drain(long now, long wall) {
    // Whoever owes nothing has nothing to say.
  }

  /**
   * The process goes now: every call that waits is answered, or its client hears nothing any more.
   */
  default void timeUp(long now, long wall) {
    // Whoever answers at once owes nothing.
  }

  /** No turn follows, and no attempt goes out: the last messages to others. */
  default void close(long now, long wall) {
    // Whoever holds nothing has nothing to give back.
  }
}
