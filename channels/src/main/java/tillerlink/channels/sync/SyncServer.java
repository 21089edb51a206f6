package tillerlink.channels.sync;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import tillerlink.channels.journal.Journal;
import tillerlink.cluster.MessageSender;
import tillerlink.messages.channels.ChannelsMessage.Cuts;
import tillerlink.messages.channels.ChannelsMessage.Piece;
import tillerlink.messages.channels.ChannelsMessage.SumPart;
import tillerlink.messages.channels.ChannelsMessage.SumWanted;
import tillerlink.messages.channels.ChannelsMessage.Want;
import tillerlink.messages.channels.Cut;
import tillerlink.messages.channels.Entry;
import tillerlink.messages.channels.EntryCodec;
import tillerlink.messages.channels.Span;

/**
 * The serving side of anti-entropy, which sends other gateways the events, cuts and compacted state
 * that they request. Messages have a bounded size. Sizes are in bytes.
 */
public final class SyncServer {
  /** The size of a message without its elements. */
  private static final int HEADER_BYTES = 40;

  /** The size of an element's header in a message. */
  private static final int ELEMENT_HEADER_BYTES = 4;

  private static final int MIN_PIECE_BYTES = 150;
  private static final int MAX_ENTRIES = 4096;
  private static final int MAX_CUTS_BYTES = MessageSender.SINGLE_DATAGRAM_BYTES - 60;
  private static final int MAX_CUTS_MESSAGES = 24;
  private static final int STATE_PART_BYTES = 1000;

  private final Journal journal;
  private final ChannelTransport transport;

  /** The encoded compacted state of {@link #stateSlot}, cached between requests. */
  private byte[] state = new byte[0];

  private long stateSlot = -1;

  /** Creates a server of the events, cuts and compacted state of a journal. */
  public SyncServer(Journal journal, ChannelTransport transport) {
    this.journal = journal;
    this.transport = transport;
  }

  /**
   * Sends the requested events that are held, in pieces of up to the requested size. The last piece
   * is sent even if it is empty.
   *
   * @param to the gateway that requests the events
   * @param want the request
   */
  public void sendEntries(String to, Want want) {
    int maxBytes =
        Math.max(MIN_PIECE_BYTES, Math.min(MessageSender.MAX_MESSAGE_BYTES, want.maxBytes()))
            - HEADER_BYTES;
    int remaining = Math.min(MAX_ENTRIES, want.maxEntries());
    List<Entry> piece = new ArrayList<>();
    int bytes = 0;
    for (Span span : want.spans()) {
      for (Entry entry : journal.entries(span)) {
        if (remaining <= 0) {
          break;
        }
        remaining--;
        int size = EntryCodec.bytes(entry).length + ELEMENT_HEADER_BYTES;
        if (!piece.isEmpty() && bytes + size > maxBytes) {
          transport.send(to, new Piece(want.number(), false, piece));
          piece = new ArrayList<>();
          bytes = 0;
        }
        piece.add(entry);
        bytes += size;
      }
    }
    transport.send(to, new Piece(want.number(), true, piece));
  }

  /** Sends the decided cuts from a slot on, in a bounded number of messages. */
  public void sendCuts(String to, long firstSlot) {
    List<Cut> batch = new ArrayList<>();
    int bytes = 0;
    int messagesSent = 0;
    for (Cut cut : journal.cuts().tailMap(firstSlot, true).values()) {
      int size = EntryCodec.cut(cut).done().length + ELEMENT_HEADER_BYTES;
      if (!batch.isEmpty() && bytes + size > MAX_CUTS_BYTES) {
        transport.send(to, new Cuts(batch));
        batch = new ArrayList<>();
        bytes = 0;
        messagesSent++;
        if (messagesSent >= MAX_CUTS_MESSAGES) {
          return;
        }
      }
      batch.add(cut);
      bytes += size;
    }
    if (!batch.isEmpty()) {
      transport.send(to, new Cuts(batch));
    }
  }

  /**
   * Sends the requested part of the compacted state. Sends the first part if the request is for the
   * state of another slot, and nothing if the log is not compacted.
   */
  public void sendState(String to, SumWanted wanted) {
    if (journal.base() == 0) {
      return;
    }
    if (stateSlot != journal.base()) {
      stateSlot = journal.base();
      state = journal.sum().bytes();
    }
    boolean isCurrentState = wanted.slot() == stateSlot && wanted.offset() < state.length;
    int offset = isCurrentState ? wanted.offset() : 0;
    int end = Math.min(state.length, offset + STATE_PART_BYTES);
    byte[] part = Arrays.copyOfRange(state, offset, end);
    transport.send(to, new SumPart(stateSlot, offset, state.length, part));
  }
}
