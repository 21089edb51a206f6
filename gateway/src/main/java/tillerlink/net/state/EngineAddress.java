package tillerlink.net.state;

import java.net.InetSocketAddress;
import tillerlink.model.Engine;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.plain.Units;
import tillerlink.policy.StartTime;

/** Where an engine is, and how it is reached. Owned by the event-loop thread. */
public final class EngineAddress {
  public final String id;
  public final Engine engine = new Engine(this);
  EngineTransport transport;

  /** As it was last published whole, or null. */
  EndpointEntry entry;

  private InetSocketAddress socketAddress;
  private long startedMs;

  /** The same on this gateway's clock, bounded by what is possible. */
  private long startedAt;

  EngineAddress(String id) {
    this.id = id;
  }

  /** Where its process listens. */
  public InetSocketAddress socketAddress() {
    return socketAddress;
  }

  /**
   * Applies what the endpoint list contains now. Another address or start is another process:
   * nothing meant for it goes to the old.
   *
   * @param missingAt up to when this process is known not to have been there, if it is new
   */
  void update(EndpointEntry published, long now, long missingAt) {
    if (published.standing() != Status.GONE) {
      InetSocketAddress address = new InetSocketAddress(published.address(), published.port());
      if (!address.equals(socketAddress) || published.startedMs() != startedMs) {
        transport.retireConnections();
      }
      if (published.startedMs() != startedMs || entry == null) {
        startedAt = StartTime.bounded(published.startedMs() * Units.TENTHS_PER_MS, now, missingAt);
      }
      socketAddress = address;
      startedMs = published.startedMs();
      entry = published;
    }
  }

  /**
   * When its process started, in tenths of a millisecond on this gateway's clock; 0 for long ago.
   */
  long startedAt() {
    return startedAt;
  }

  /** Whether new work may go there. */
  public boolean isReady() {
    return engine.status == Status.READY;
  }
}
