package tillerlink.net.state;

import java.net.InetSocketAddress;
import tillerlink.model.Engine;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.EndpointEntry;
import tillerlink.plain.Units;
import tillerlink.policy.StartTime;

/** Where an engine is, and how it is reached. */
public final class EngineAddress {
  public final String id;
  public final Engine engine = new Engine(this);
  EngineTransport transport;

  /** As it was last told whole, or null. */
  EndpointEntry entry;

  private InetSocketAddress address;
  private long startedMs;

  /** The same on this gateway's clock, within what can be. */
  private long startedAt;

  EngineAddress(String id) {
    this.id = id;
  }

  public InetSocketAddress address() {
    return address;
  }

  /**
   * What the list says now. Another address or start is another process: nothing meant for it goes
   * to the old.
   *
   * @param missingAt up to when this process is known not to have been there, if it is new
   */
  void at(EndpointEntry entry, long now, long missingAt) {
    if (entry.standing() != Status.GONE) {
      InetSocketAddress told = new InetSocketAddress(entry.address(), entry.port());
      if (!told.equals(address) || entry.startedMs() != startedMs) {
        transport.retireConnections();
      }
      if (entry.startedMs() != startedMs || this.entry == null) {
        startedAt = StartTime.bounded(entry.startedMs() * Units.TENTHS_PER_MS, now, missingAt);
      }
      address = told;
      startedMs = entry.startedMs();
      this.entry = entry;
    }
  }

  /**
   * When its process started, in tenths of a millisecond on this gateway's clock; 0 for long ago.
   */
  long startedAt() {
    return startedAt;
  }

  /** Whether new work may go there. */
  public boolean ready() {
    return engine.status == Status.READY;
  }
}
