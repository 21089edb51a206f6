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

/** Gives others what they ask for, in pieces of the size they ask for. */
public final class Server {
  private static final int ROOM_FOR_HEAD = 40;
  private static final int ENTRIES_MOST = 4096;
  private static final int CUTS_BYTES = MessageSender.SINGLE_DATAGRAM_BYTES - 60;
  private static final int CUTS_MESSAGES = 24;
  private static final int SUM_PART = 1000;

  private final Journal journal;
  private final ChannelTransport wire;
  private byte[] sum = new byte[0];
  private long sumSlot = -1;

  public Server(Journal journal, ChannelTransport wire) {
    this.journal = journal;
    this.wire = wire;
  }

  public void want(String from, Want want) {
    int most =
        Math.max(150, Math.min(MessageSender.MAX_MESSAGE_BYTES, want.maxBytes())) - ROOM_FOR_HEAD;
    int left = Math.min(ENTRIES_MOST, want.maxEntries());
    List<Entry> piece = new ArrayList<>();
    int bytes = 0;
    for (Span span : want.spans()) {
      for (Entry entry : journal.entries(span)) {
        if (left-- <= 0) {
          break;
        }
        int size = EntryCodec.bytes(entry).length + 4;
        if (!piece.isEmpty() && bytes + size > most) {
          wire.send(from, new Piece(want.number(), false, piece));
          piece = new ArrayList<>();
          bytes = 0;
        }
        piece.add(entry);
        bytes += size;
      }
    }
    wire.send(from, new Piece(want.number(), true, piece));
  }

  public void cuts(String from, long first) {
    List<Cut> some = new ArrayList<>();
    int bytes = 0;
    int messages = 0;
    for (Cut cut : journal.cuts().tailMap(first, true).values()) {
      int size = EntryCodec.cut(cut).done().length + 4;
      if (!some.isEmpty() && bytes + size > CUTS_BYTES) {
        wire.send(from, new Cuts(some));
        some = new ArrayList<>();
        bytes = 0;
        if (++messages >= CUTS_MESSAGES) {
          return;
        }
      }
      some.add(cut);
      bytes += size;
    }
    if (!some.isEmpty()) {
      wire.send(from, new Cuts(some));
    }
  }

  public void sum(String from, SumWanted wanted) {
    if (journal.base() == 0) {
      return;
    }
    if (sumSlot != journal.base()) {
      sumSlot = journal.base();
      sum = journal.sum().bytes();
    }
    int offset = wanted.slot() == sumSlot && wanted.offset() < sum.length ? wanted.offset() : 0;
    byte[] part = Arrays.copyOfRange(sum, offset, Math.min(sum.length, offset + SUM_PART));
    wire.send(from, new SumPart(sumSlot, offset, sum.length, part));
  }
}
