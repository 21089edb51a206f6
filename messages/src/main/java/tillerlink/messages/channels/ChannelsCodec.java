package tillerlink.messages.channels;

import java.util.ArrayList;
import java.util.List;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.channels.ChannelsMessage.Accept;
import tillerlink.messages.channels.ChannelsMessage.Accepted;
import tillerlink.messages.channels.ChannelsMessage.Answer;
import tillerlink.messages.channels.ChannelsMessage.Ask;
import tillerlink.messages.channels.ChannelsMessage.Cuts;
import tillerlink.messages.channels.ChannelsMessage.CutsWanted;
import tillerlink.messages.channels.ChannelsMessage.Life;
import tillerlink.messages.channels.ChannelsMessage.Piece;
import tillerlink.messages.channels.ChannelsMessage.Prepare;
import tillerlink.messages.channels.ChannelsMessage.Promise;
import tillerlink.messages.channels.ChannelsMessage.Report;
import tillerlink.messages.channels.ChannelsMessage.Standing;
import tillerlink.messages.channels.ChannelsMessage.SumPart;
import tillerlink.messages.channels.ChannelsMessage.SumWanted;
import tillerlink.messages.channels.ChannelsMessage.Want;

/**
 * Messages of the channels' logs as bytes: field 1 is the kind, field 2 the message. All kinds
 * share one numbering of fields, so that a field means the same in each of them.
 */
public final class ChannelsCodec {
  private static final int LIST_MOST = 2048;

  private ChannelsCodec() {}

  public static byte[] bytes(ChannelsMessage message) {
    FieldWriter out = new FieldWriter();
    int kind = write(message, out);
    return new FieldWriter().number(1, kind).within(2, out).done();
  }

  private static int write(ChannelsMessage message, FieldWriter out) {
    if (message instanceof Report it) {
      out.number(1, it.wall())
          .within(2, standing(it.own()))
          .number(3, it.applied())
          .number(4, it.decided())
          .number(5, it.base())
          .fixed(6, it.digest());
      it.extra().forEach(span -> out.within(7, EntryCodec.span(span)));
      it.others().forEach(other -> out.within(8, standing(other)));
      return 1;
    } else if (message instanceof Want it) {
      out.number(9, it.number()).number(10, it.maxBytes()).number(11, it.entriesMost());
      it.spans().forEach(span -> out.within(7, EntryCodec.span(span)));
      return 2;
    } else if (message instanceof Piece it) {
      out.number(9, it.number()).flag(12, it.last());
      it.entries().forEach(entry -> out.bytes(13, EntryCodec.bytes(entry)));
      return 3;
    } else if (message instanceof CutsWanted it) {
      out.number(14, it.from());
      return 4;
    } else if (message instanceof Cuts it) {
      it.cuts().forEach(cut -> out.within(15, EntryCodec.cut(cut)));
      return 5;
    } else if (message instanceof SumWanted it) {
      out.number(14, it.slot()).number(16, it.offset());
      return 6;
    } else if (message instanceof SumPart it) {
      out.number(14, it.slot()).number(16, it.offset()).number(17, it.size()).bytes(18, it.bytes());
      return 7;
    }
    return writeAgreement(message, out);
  }

  private static int writeAgreement(ChannelsMessage message, FieldWriter out) {
    if (message instanceof Ask it) {
      out.fixed(19, it.incarnation());
      return 8;
    } else if (message instanceof Answer it) {
      out.fixed(19, it.incarnation())
          .flag(20, it.knows())
          .number(4, it.decided())
          .within(22, ballot(it.promised()))
          .within(23, ballot(it.acceptedIn()));
      cut(it.accepted(), out);
      return 9;
    } else if (message instanceof Prepare it) {
      out.within(21, ballot(it.ballot())).number(14, it.slot());
      return 10;
    } else if (message instanceof Promise it) {
      out.within(21, ballot(it.ballot()))
          .number(14, it.slot())
          .within(22, ballot(it.promised()))
          .within(23, ballot(it.acceptedIn()))
          .fixed(19, it.incarnation());
      cut(it.accepted(), out);
      lives(it.lives(), out);
      return 11;
    } else if (message instanceof Accept it) {
      out.within(21, ballot(it.ballot()));
      cut(it.cut(), out);
      return 12;
    }
    Accepted it = (Accepted) message;
    out.within(21, ballot(it.ballot()))
        .number(14, it.slot())
        .within(22, ballot(it.promised()))
        .fixed(19, it.incarnation());
    lives(it.lives(), out);
    return 13;
  }

  private static void cut(Cut cut, FieldWriter out) {
    if (cut != null) {
      out.within(15, EntryCodec.cut(cut));
    }
  }

  private static void lives(List<Life> lives, FieldWriter out) {
    lives.forEach(
        life ->
            out.within(24, new FieldWriter().text(1, life.gateway()).fixed(2, life.incarnation())));
  }

  private static FieldWriter standing(Standing it) {
    return new FieldWriter()
        .text(1, it.gateway())
        .fixed(2, it.incarnation())
        .fixed(3, it.floor())
        .number(4, it.top());
  }

  private static FieldWriter ballot(Ballot it) {
    return new FieldWriter().number(1, it.round()).text(2, it.by());
  }

  /** What was read so far of one message; each kind takes of it what it has. */
  private static final class Fields {
    long wall;
    Standing own;
    long applied;
    long decided;
    long base;
    long digest;
    final List<Span> spans = new ArrayList<>();
    final List<Standing> others = new ArrayList<>();
    long number;
    int maxBytes;
    int entriesMost;
    boolean last;
    final List<Entry> entries = new ArrayList<>();
    long slot;
    final List<Cut> cuts = new ArrayList<>();
    int offset;
    int size;
    byte[] part = new byte[0];
    long incarnation;
    boolean knows;
    Ballot ballot = Ballot.NONE;
    Ballot promised = Ballot.NONE;
    Ballot acceptedIn = Ballot.NONE;
    final List<Life> lives = new ArrayList<>();

    Cut cut() {
      return cuts.isEmpty() ? null : cuts.get(0);
    }

    void bound() throws MalformedMessageException {
      if (spans.size() > LIST_MOST
          || others.size() > LIST_MOST
          || entries.size() > LIST_MOST
          || cuts.size() > LIST_MOST
          || lives.size() > LIST_MOST) {
        throw new MalformedMessageException("a list that is too long");
      }
    }
  }

  public static ChannelsMessage message(byte[] bytes) throws MalformedMessageException {
    FieldReader in = new FieldReader(bytes);
    int kind = 0;
    Fields fields = new Fields();
    while (in.next()) {
      switch (in.field()) {
        case 1 -> kind = (int) in.number(1 << 20);
        case 2 -> read(in.within(), fields);
        default -> {}
      }
    }
    return of(kind, fields);
  }

  private static void read(FieldReader in, Fields to) throws MalformedMessageException {
    while (in.next()) {
      switch (in.field()) {
        case 1 -> to.wall = in.number();
        case 2 -> to.own = standing(in.within());
        case 3 -> to.applied = in.number();
        case 4 -> to.decided = in.number();
        case 5 -> to.base = in.number();
        case 6 -> to.digest = in.fixed();
        case 7 -> to.spans.add(EntryCodec.span(in.within()));
        case 8 -> to.others.add(standing(in.within()));
        case 9 -> to.number = in.number();
        case 10 -> to.maxBytes = (int) in.number(1 << 20);
        case 11 -> to.entriesMost = (int) in.number(1 << 20);
        case 12 -> to.last = in.flag();
        case 13 -> to.entries.add(EntryCodec.entry(in.bytes(4 * EntryCodec.ENTRY_MOST)));
        case 14 -> to.slot = in.number();
        case 15 -> to.cuts.add(EntryCodec.cut(in.within()));
        case 16 -> to.offset = (int) in.number(1 << 30);
        case 17 -> to.size = (int) in.number(1 << 30);
        case 18 -> to.part = in.bytes(1 << 16);
        case 19 -> to.incarnation = in.fixed();
        case 20 -> to.knows = in.flag();
        case 21 -> to.ballot = ballot(in.within());
        case 22 -> to.promised = ballot(in.within());
        case 23 -> to.acceptedIn = ballot(in.within());
        case 24 -> to.lives.add(life(in.within()));
        default -> {}
      }
      to.bound();
    }
  }

  private static ChannelsMessage of(int kind, Fields of) throws MalformedMessageException {
    switch (kind) {
      case 1:
        if (of.own == null) {
          throw new MalformedMessageException("a report of nobody");
        }
        return new Report(
            of.wall, of.own, of.applied, of.decided, of.base, of.digest, of.spans, of.others);
      case 2:
        return new Want(of.number, of.maxBytes, of.entriesMost, of.spans);
      case 3:
        return new Piece(of.number, of.last, of.entries);
      case 4:
        return new CutsWanted(of.slot);
      case 5:
        return new Cuts(of.cuts);
      case 6:
        return new SumWanted(of.slot, of.offset);
      case 7:
        return new SumPart(of.slot, of.offset, of.size, of.part);
      case 8:
        return new Ask(of.incarnation);
      case 9:
        return new Answer(
            of.incarnation, of.knows, of.decided, of.promised, of.acceptedIn, of.cut());
      case 10:
        return new Prepare(of.ballot, of.slot);
      case 11:
        return new Promise(
            of.ballot, of.slot, of.promised, of.acceptedIn, of.cut(), of.incarnation, of.lives);
      case 12:
        if (of.cut() == null) {
          throw new MalformedMessageException("nothing to accept");
        }
        return new Accept(of.ballot, of.cut());
      case 13:
        return new Accepted(of.ballot, of.slot, of.promised, of.incarnation, of.lives);
      default:
        throw new MalformedMessageException("a message of a kind not known here");
    }
  }

  private static Standing standing(FieldReader in) throws MalformedMessageException {
    String gateway = "";
    long incarnation = 0;
    long floor = 0;
    long top = 0;
    while (in.next()) {
      switch (in.field()) {
        case 1 -> gateway = in.text(EntryCodec.NAME_MOST);
        case 2 -> incarnation = in.fixed();
        case 3 -> floor = in.fixed();
        case 4 -> top = in.number(1L << 40);
        default -> {}
      }
    }
    return new Standing(gateway, incarnation, floor, top);
  }

  private static Ballot ballot(FieldReader in) throws MalformedMessageException {
    long round = 0;
    String by = "";
    while (in.next()) {
      switch (in.field()) {
        case 1 -> round = in.number(Long.MAX_VALUE >> 1);
        case 2 -> by = in.text(EntryCodec.NAME_MOST);
        default -> {}
      }
    }
    return new Ballot(round, by);
  }

  private static Life life(FieldReader in) throws MalformedMessageException {
    String gateway = "";
    long incarnation = 0;
    while (in.next()) {
      switch (in.field()) {
        case 1 -> gateway = in.text(EntryCodec.NAME_MOST);
        case 2 -> incarnation = in.fixed();
        default -> {}
      }
    }
    return new Life(gateway, incarnation);
  }
}
