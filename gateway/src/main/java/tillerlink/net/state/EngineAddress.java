package tillerlink.net.state;

import java.net.InetSocketAddress;
import tillerlink.model.Engine;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.plain.Units;
import tillerlink.policy.StartTime;

/**
 * The address of an engine, with its state and the transport that reaches it. Confined to the
 * event-loop thread; times are tenths of a millisecond unless a name ends in "Ms".
 */
public final class EngineAddress {
  public final String id;
  public final Engine engine = new Engine(this);
  EngineTransport transport;

  /** The last complete entry that was published while the engine was not gone; null if none was. */
  EndpointEntry entry;

  private InetSocketAddress socketAddress;

  /** The start time of the engine's process as published, in milliseconds. */
  private long startedMs;

  /** The start time on this gateway's clock, limited to the possible range by {@link StartTime}. */
  private long startedAt;

  EngineAddress(String id) {
    this.id = id;
  }

  /** Returns the address on which the engine's process listens. */
  public InetSocketAddress socketAddress() {
    return socketAddress;
  }

  /**
   * Applies a published entry. Another address or start time means another process, so the current
   * connections are retired; otherwise attempts meant for the new process would reach the old one.
   *
   * @param published the entry in the endpoint list
   * @param now the current time, in tenths of a millisecond
   * @param lastMissingAt the last time at which a process that is new is known not to have been
   *     running, in tenths of a millisecond; {@link Long#MIN_VALUE} if that is unknown
   */
  void update(EndpointEntry published, long now, long lastMissingAt) {
    if (published.standing() != Status.GONE) {
      InetSocketAddress address = new InetSocketAddress(published.address(), published.port());
      if (!address.equals(socketAddress) || published.startedMs() != startedMs) {
        transport.retireConnections();
      }
      if (published.startedMs() != startedMs || entry == null) {
        startedAt =
            StartTime.limitToPossible(
                published.startedMs() * Units.TENTHS_PER_MS, now, lastMissingAt);
      }
      socketAddress = address;
      startedMs = published.startedMs();
      entry = published;
    }
  }

  /**
   * Returns when the engine's process started, in tenths of a millisecond on this gateway's clock;
   * 0 for long ago.
   */
  long startedAt() {
    return startedAt;
  }

  /** Returns whether new attempts may be sent to the engine. */
  public boolean isReady() {
    return engine.status == Status.READY;
  }
}
