package tillerlink.channels.sync;

import tillerlink.messages.channels.ChannelsMessage.Report;
import tillerlink.messages.channels.ChannelsMessage.SumPart;
import tillerlink.messages.channels.ChannelsMessage.SumWanted;

/**
 * The transfer of another gateway's compacted state to this one. Parts are requested one after the
 * other. Times are tenths of a millisecond.
 */
final class StateTransfer {
  /** The time without a part after which the next part is requested again. */
  private static final long TIMEOUT = Fetcher.TIMEOUT;

  /** The time without a part after which the state is requested from another gateway. */
  private static final long SOURCE_TIMEOUT = 5 * TIMEOUT;

  private static final int MAX_STATE_BYTES = 256 << 20;

  private final ChannelTransport transport;
  private String source = "";
  private long slot;

  /** A buffer of the whole state's length with the parts received; null if there are none. */
  private byte[] state;

  /** The number of bytes received. */
  private int received;

  private long requestedAt;

  StateTransfer(ChannelTransport transport) {
    this.transport = transport;
  }

  /**
   * Requests the next part from a gateway, unless a request is in flight or a transfer from another
   * gateway makes progress.
   *
   * @param report the gateway's latest report
   */
  void request(long now, String from, Report report) {
    if (!mayRequest(now, from)) {
      return;
    }
    if (!source.equals(from) || slot != report.base()) {
      state = null;
      received = 0;
    }
    source = from;
    slot = report.base();
    requestedAt = now;
    transport.send(from, new SumWanted(slot, received));
  }

  /** Returns whether the next part may be requested from a gateway. */
  private boolean mayRequest(long now, String from) {
    long elapsed = now - requestedAt;
    return elapsed > TIMEOUT && (state == null || source.equals(from) || elapsed > SOURCE_TIMEOUT);
  }

  /**
   * Stores a part, and requests the next one.
   *
   * @return the whole state if this was the last part, otherwise null
   */
  byte[] onPart(long now, String from, SumPart part) {
    if (!from.equals(source) || part.size() > MAX_STATE_BYTES || part.size() <= 0) {
      return null;
    }
    if (!belongsToTransfer(part)) {
      if (part.offset() != 0) {
        return null;
      }
      slot = part.slot();
      state = new byte[part.size()];
      received = 0;
    }
    if (part.offset() != received || part.offset() + part.bytes().length > state.length) {
      return null;
    }
    System.arraycopy(part.bytes(), 0, state, received, part.bytes().length);
    received += part.bytes().length;
    requestedAt = now;
    if (received < state.length) {
      transport.send(from, new SumWanted(slot, received));
      return null;
    }
    return finish();
  }

  /** Returns whether a part belongs to the state that is being transferred. */
  private boolean belongsToTransfer(SumPart part) {
    return part.slot() == slot && state != null && state.length == part.size();
  }

  /** Ends the transfer, and returns the whole state. */
  private byte[] finish() {
    byte[] whole = state;
    state = null;
    received = 0;
    return whole;
  }
}
