package tillerlink.messages.channels;

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
import tillerlink.messages.channels.ChannelsMessage.SumPart;
import tillerlink.messages.channels.ChannelsMessage.SumWanted;
import tillerlink.messages.channels.ChannelsMessage.Want;

/**
 * Writes and reads messages about the logs of channels: field 1 is the kind, field 2 the message.
 * All kinds share one numbering of fields, {@link ChannelsFields}, so that a field means the same
 * in each of them.
 */
public final class ChannelsCodec {
  private static final int KIND = 1;
  private static final int MESSAGE = 2;
  private static final int MAX_KIND = 1 << 20;

  private ChannelsCodec() {}

  // ---- reading ----

  /**
   * Reads a message.
   *
   * @throws MalformedMessageException if the bytes are no message, or of a kind that this release
   *     does not know
   */
  public static ChannelsMessage message(byte[] bytes) throws MalformedMessageException {
    FieldReader in = new FieldReader(bytes);
    int kind = 0;
    ChannelsFields fields = new ChannelsFields();
    while (in.next()) {
      switch (in.field()) {
        case KIND -> kind = (int) in.number(MAX_KIND);
        case MESSAGE -> fields.read(in.within());
        default -> {}
      }
    }
    return fields.toMessage(kind);
  }

  // ---- writing ----

  /** Writes a message. */
  public static byte[] bytes(ChannelsMessage message) {
    FieldWriter out = new FieldWriter();
    int kind = write(message, out);
    return new FieldWriter().number(KIND, kind).within(MESSAGE, out).done();
  }

  /** Writes the fields of a message and returns the number of its kind. */
  private static int write(ChannelsMessage message, FieldWriter out) {
    if (message instanceof Report report) {
      return report(report, out);
    } else if (message instanceof Want want) {
      return want(want, out);
    } else if (message instanceof Piece piece) {
      return piece(piece, out);
    } else if (message instanceof CutsWanted wanted) {
      out.number(ChannelsFields.SLOT, wanted.from());
      return ChannelsFields.KIND_CUTS_WANTED;
    } else if (message instanceof Cuts cuts) {
      cuts.cuts().forEach(cut -> cut(cut, out));
      return ChannelsFields.KIND_CUTS;
    } else if (message instanceof SumWanted wanted) {
      out.number(ChannelsFields.SLOT, wanted.slot()).number(ChannelsFields.OFFSET, wanted.offset());
      return ChannelsFields.KIND_SUM_WANTED;
    } else if (message instanceof SumPart part) {
      return sumPart(part, out);
    }
    return writeConsensus(message, out);
  }

  private static int writeConsensus(ChannelsMessage message, FieldWriter out) {
    if (message instanceof Ask ask) {
      out.fixed(ChannelsFields.INCARNATION, ask.incarnation());
      return ChannelsFields.KIND_ASK;
    } else if (message instanceof Answer answer) {
      return answer(answer, out);
    } else if (message instanceof Prepare prepare) {
      out.within(ChannelsFields.BALLOT, ValueCodec.ballot(prepare.ballot()))
          .number(ChannelsFields.SLOT, prepare.slot());
      return ChannelsFields.KIND_PREPARE;
    } else if (message instanceof Promise promise) {
      return promise(promise, out);
    } else if (message instanceof Accept accept) {
      out.within(ChannelsFields.BALLOT, ValueCodec.ballot(accept.ballot()));
      cut(accept.cut(), out);
      return ChannelsFields.KIND_ACCEPT;
    }
    return accepted((Accepted) message, out);
  }

  private static int report(Report report, FieldWriter out) {
    out.number(ChannelsFields.WALL, report.wall())
        .within(ChannelsFields.OWN, ValueCodec.standing(report.own()))
        .number(ChannelsFields.APPLIED, report.applied())
        .number(ChannelsFields.DECIDED, report.decided())
        .number(ChannelsFields.BASE, report.base())
        .fixed(ChannelsFields.DIGEST, report.digest());
    spans(report.extra(), out);
    report.others().forEach(other -> out.within(ChannelsFields.OTHER, ValueCodec.standing(other)));
    return ChannelsFields.KIND_REPORT;
  }

  private static int want(Want want, FieldWriter out) {
    out.number(ChannelsFields.NUMBER, want.number())
        .number(ChannelsFields.MAX_BYTES, want.maxBytes())
        .number(ChannelsFields.MAX_ENTRIES, want.maxEntries());
    spans(want.spans(), out);
    return ChannelsFields.KIND_WANT;
  }

  private static int piece(Piece piece, FieldWriter out) {
    out.number(ChannelsFields.NUMBER, piece.number()).flag(ChannelsFields.LAST, piece.last());
    piece.entries().forEach(entry -> out.bytes(ChannelsFields.ENTRY, EntryCodec.bytes(entry)));
    return ChannelsFields.KIND_PIECE;
  }

  private static int sumPart(SumPart part, FieldWriter out) {
    out.number(ChannelsFields.SLOT, part.slot())
        .number(ChannelsFields.OFFSET, part.offset())
        .number(ChannelsFields.SIZE, part.size())
        .bytes(ChannelsFields.PART, part.bytes());
    return ChannelsFields.KIND_SUM_PART;
  }

  private static int answer(Answer answer, FieldWriter out) {
    out.fixed(ChannelsFields.INCARNATION, answer.incarnation())
        .flag(ChannelsFields.KNOWS, answer.knows())
        .number(ChannelsFields.DECIDED, answer.decided())
        .within(ChannelsFields.PROMISED, ValueCodec.ballot(answer.promised()))
        .within(ChannelsFields.ACCEPTED_IN, ValueCodec.ballot(answer.acceptedIn()));
    cut(answer.accepted(), out);
    return ChannelsFields.KIND_ANSWER;
  }

  private static int promise(Promise promise, FieldWriter out) {
    out.within(ChannelsFields.BALLOT, ValueCodec.ballot(promise.ballot()))
        .number(ChannelsFields.SLOT, promise.slot())
        .within(ChannelsFields.PROMISED, ValueCodec.ballot(promise.promised()))
        .within(ChannelsFields.ACCEPTED_IN, ValueCodec.ballot(promise.acceptedIn()))
        .fixed(ChannelsFields.INCARNATION, promise.incarnation());
    cut(promise.accepted(), out);
    lives(promise.lives(), out);
    return ChannelsFields.KIND_PROMISE;
  }

  private static int accepted(Accepted accepted, FieldWriter out) {
    out.within(ChannelsFields.BALLOT, ValueCodec.ballot(accepted.ballot()))
        .number(ChannelsFields.SLOT, accepted.slot())
        .within(ChannelsFields.PROMISED, ValueCodec.ballot(accepted.promised()))
        .fixed(ChannelsFields.INCARNATION, accepted.incarnation());
    lives(accepted.lives(), out);
    return ChannelsFields.KIND_ACCEPTED;
  }

  private static void spans(List<Span> spans, FieldWriter out) {
    spans.forEach(span -> out.within(ChannelsFields.SPAN, EntryCodec.span(span)));
  }

  private static void cut(Cut cut, FieldWriter out) {
    if (cut != null) {
      out.within(ChannelsFields.CUT, EntryCodec.cut(cut));
    }
  }

  private static void lives(List<Life> lives, FieldWriter out) {
    lives.forEach(life -> out.within(ChannelsFields.LIFE, ValueCodec.life(life)));
  }
}
