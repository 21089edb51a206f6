package tillerlink.channels.sync;

import tillerlink.messages.channels.ChannelsMessage.Report;
import tillerlink.messages.channels.ChannelsMessage.SumPart;
import tillerlink.messages.channels.ChannelsMessage.SumWanted;

/**
 * Fetches the compacted state of another gateway, part by part, one after the other. Times are
 * tenths of a millisecond.
 */
final class StateTransfer {
  /** After this without a part it is requested again. */
  private static final long TIMEOUT = Fetcher.TIMEOUT;

  /** After this without a part another gateway is tried. */
  private static final long SOURCE_TIMEOUT = 5 * TIMEOUT;

  private static final int MAX_STATE_BYTES = 256 << 20;

  private final ChannelTransport transport;
  private String source = "";
  private long slot;

  /** What has arrived so far, of the whole state's length; null if nothing has. */
  private byte[] state;

  private int received;
  private long askedAt;

  StateTransfer(ChannelTransport transport) {
    this.transport = transport;
  }

  /** Requests the next part from a gateway, unless a transfer is going on. */
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
    askedAt = now;
    transport.send(from, new SumWanted(slot, received));
  }

  private boolean mayRequest(long now, String from) {
    long waited = now - askedAt;
    return waited > TIMEOUT && (state == null || source.equals(from) || waited > SOURCE_TIMEOUT);
  }

  /**
   * Takes a part, and requests the next one.
   *
   * @return the whole state with the last part, otherwise null
   */
  byte[] onPart(long now, String from, SumPart part) {
    if (!from.equals(source) || part.size() > MAX_STATE_BYTES || part.size() <= 0) {
      return null;
    }
    if (!continues(part)) {
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
    askedAt = now;
    if (received < state.length) {
      transport.send(from, new SumWanted(slot, received));
      return null;
    }
    return finish();
  }

  /** Whether a part is of the state that is being transferred. */
  private boolean continues(SumPart part) {
    return part.slot() == slot && state != null && state.length == part.size();
  }

  private byte[] finish() {
    byte[] whole = state;
    state = null;
    received = 0;
    return whole;
  }
}
