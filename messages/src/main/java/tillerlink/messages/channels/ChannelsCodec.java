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
 * Encodes and decodes messages about the logs of channels: field 1 is the message kind, field 2 the
 * nested message. All kinds share the field numbers of {@link ChannelsFields}, so that a number has
 * the same meaning in each of them.
 */
public final class ChannelsCodec {
  private static final int KIND = 1;
  private static final int MESSAGE = 2;
  private static final int MAX_KIND = 1 << 20;

  private ChannelsCodec() {}

  // ---- reading ----

  /**
   * Decodes a message.
   *
   * @throws MalformedMessageException if the bytes are not a valid message, or its kind is unknown
   *     to this release
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

  /** Encodes a message. */
  public static byte[] bytes(ChannelsMessage message) {
    FieldWriter out = new FieldWriter();
    int kind = writeFields(message, out);
    return new FieldWriter().number(KIND, kind).within(MESSAGE, out).done();
  }

  /** Writes the fields of a message and returns the number of its kind. */
  private static int writeFields(ChannelsMessage message, FieldWriter out) {
    if (message instanceof Report report) {
      return writeReport(report, out);
    } else if (message instanceof Want want) {
      return writeWant(want, out);
    } else if (message instanceof Piece piece) {
      return writePiece(piece, out);
    } else if (message instanceof CutsWanted request) {
      out.number(ChannelsFields.SLOT, request.from());
      return ChannelsFields.KIND_CUTS_WANTED;
    } else if (message instanceof Cuts cuts) {
      cuts.cuts().forEach(cut -> writeCut(cut, out));
      return ChannelsFields.KIND_CUTS;
    } else if (message instanceof SumWanted request) {
      out.number(ChannelsFields.SLOT, request.slot())
          .number(ChannelsFields.OFFSET, request.offset());
      return ChannelsFields.KIND_SUM_WANTED;
    } else if (message instanceof SumPart part) {
      return writeSumPart(part, out);
    }
    return writeConsensus(message, out);
  }

  private static int writeConsensus(ChannelsMessage message, FieldWriter out) {
    if (message instanceof Ask ask) {
      out.fixed(ChannelsFields.INCARNATION, ask.incarnation());
      return ChannelsFields.KIND_ASK;
    } else if (message instanceof Answer answer) {
      return writeAnswer(answer, out);
    } else if (message instanceof Prepare prepare) {
      out.within(ChannelsFields.BALLOT, ValueCodec.ballot(prepare.ballot()))
          .number(ChannelsFields.SLOT, prepare.slot());
      return ChannelsFields.KIND_PREPARE;
    } else if (message instanceof Promise promise) {
      return writePromise(promise, out);
    } else if (message instanceof Accept accept) {
      out.within(ChannelsFields.BALLOT, ValueCodec.ballot(accept.ballot()));
      writeCut(accept.cut(), out);
      return ChannelsFields.KIND_ACCEPT;
    }
    return writeAccepted((Accepted) message, out);
  }

  private static int writeReport(Report report, FieldWriter out) {
    out.number(ChannelsFields.WALL, report.wall())
        .within(ChannelsFields.OWN, ValueCodec.standing(report.own()))
        .number(ChannelsFields.APPLIED, report.applied())
        .number(ChannelsFields.DECIDED, report.decided())
        .number(ChannelsFields.BASE, report.base())
        .fixed(ChannelsFields.DIGEST, report.digest());
    writeSpans(report.extra(), out);
    report.others().forEach(other -> out.within(ChannelsFields.OTHER, ValueCodec.standing(other)));
    return ChannelsFields.KIND_REPORT;
  }

  private static int writeWant(Want want, FieldWriter out) {
    out.number(ChannelsFields.NUMBER, want.number())
        .number(ChannelsFields.MAX_BYTES, want.maxBytes())
        .number(ChannelsFields.MAX_ENTRIES, want.maxEntries());
    writeSpans(want.spans(), out);
    return ChannelsFields.KIND_WANT;
  }

  private static int writePiece(Piece piece, FieldWriter out) {
    out.number(ChannelsFields.NUMBER, piece.number()).flag(ChannelsFields.LAST, piece.last());
    piece.entries().forEach(entry -> out.bytes(ChannelsFields.ENTRY, EntryCodec.bytes(entry)));
    return ChannelsFields.KIND_PIECE;
  }

  private static int writeSumPart(SumPart part, FieldWriter out) {
    out.number(ChannelsFields.SLOT, part.slot())
        .number(ChannelsFields.OFFSET, part.offset())
        .number(ChannelsFields.SIZE, part.size())
        .bytes(ChannelsFields.PART, part.bytes());
    return ChannelsFields.KIND_SUM_PART;
  }

  private static int writeAnswer(Answer answer, FieldWriter out) {
    out.fixed(ChannelsFields.INCARNATION, answer.incarnation())
        .flag(ChannelsFields.CAUGHT_UP, answer.knows())
        .number(ChannelsFields.DECIDED, answer.decided())
        .within(ChannelsFields.PROMISED, ValueCodec.ballot(answer.promised()))
        .within(ChannelsFields.ACCEPTED_IN, ValueCodec.ballot(answer.acceptedIn()));
    writeCut(answer.accepted(), out);
    return ChannelsFields.KIND_ANSWER;
  }

  private static int writePromise(Promise promise, FieldWriter out) {
    out.within(ChannelsFields.BALLOT, ValueCodec.ballot(promise.ballot()))
        .number(ChannelsFields.SLOT, promise.slot())
        .within(ChannelsFields.PROMISED, ValueCodec.ballot(promise.promised()))
        .within(ChannelsFields.ACCEPTED_IN, ValueCodec.ballot(promise.acceptedIn()))
        .fixed(ChannelsFields.INCARNATION, promise.incarnation());
    writeCut(promise.accepted(), out);
    writeLives(promise.lives(), out);
    return ChannelsFields.KIND_PROMISE;
  }

  private static int writeAccepted(Accepted accepted, FieldWriter out) {
    out.within(ChannelsFields.BALLOT, ValueCodec.ballot(accepted.ballot()))
        .number(ChannelsFields.SLOT, accepted.slot())
        .within(ChannelsFields.PROMISED, ValueCodec.ballot(accepted.promised()))
        .fixed(ChannelsFields.INCARNATION, accepted.incarnation());
    writeLives(accepted.lives(), out);
    return ChannelsFields.KIND_ACCEPTED;
  }

  private static void writeSpans(List<Span> spans, FieldWriter out) {
    spans.forEach(span -> out.within(ChannelsFields.SPAN, EntryCodec.span(span)));
  }

  private static void writeCut(Cut cut, FieldWriter out) {
    if (cut != null) {
      out.within(ChannelsFields.CUT, EntryCodec.cut(cut));
    }
  }

  private static void writeLives(List<Life> lives, FieldWriter out) {
    lives.forEach(life -> out.within(ChannelsFields.LIFE, ValueCodec.life(life)));
  }
}
