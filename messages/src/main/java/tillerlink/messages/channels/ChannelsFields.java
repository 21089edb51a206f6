package tillerlink.messages.channels;

import java.util.ArrayList;
import java.util.List;
import tillerlink.messages.FieldReader;
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
 * The kind and field numbers of messages about channels, and the field values read so far from one
 * message. A field that is missing from the message keeps its default value.
 */
final class ChannelsFields {
  static final int KIND_REPORT = 1;
  static final int KIND_WANT = 2;
  static final int KIND_PIECE = 3;
  static final int KIND_CUTS_WANTED = 4;
  static final int KIND_CUTS = 5;
  static final int KIND_SUM_WANTED = 6;
  static final int KIND_SUM_PART = 7;
  static final int KIND_ASK = 8;
  static final int KIND_ANSWER = 9;
  static final int KIND_PREPARE = 10;
  static final int KIND_PROMISE = 11;
  static final int KIND_ACCEPT = 12;
  static final int KIND_ACCEPTED = 13;

  static final int WALL = 1;
  static final int OWN = 2;
  static final int APPLIED = 3;
  static final int DECIDED = 4;
  static final int BASE = 5;
  static final int DIGEST = 6;
  static final int SPAN = 7;
  static final int OTHER = 8;
  static final int NUMBER = 9;
  static final int MAX_BYTES = 10;
  static final int MAX_ENTRIES = 11;
  static final int LAST = 12;
  static final int ENTRY = 13;
  static final int SLOT = 14;
  static final int CUT = 15;
  static final int OFFSET = 16;
  static final int SIZE = 17;
  static final int PART = 18;
  static final int INCARNATION = 19;
  static final int CAUGHT_UP = 20;
  static final int BALLOT = 21;
  static final int PROMISED = 22;
  static final int ACCEPTED_IN = 23;
  static final int LIFE = 24;

  private static final int MAX_LIST_LENGTH = 2048;
  private static final int MAX_REQUESTED = 1 << 20;
  private static final int MAX_STATE_BYTES = 1 << 30;
  private static final int MAX_PART_BYTES = 1 << 16;

  private long wall;
  private Standing own;
  private long applied;
  private long decided;
  private long base;
  private long digest;
  private final List<Span> spans = new ArrayList<>();
  private final List<Standing> others = new ArrayList<>();
  private long number;
  private int maxBytes;
  private int maxEntries;
  private boolean last;
  private final List<Entry> entries = new ArrayList<>();
  private long slot;
  private final List<Cut> cuts = new ArrayList<>();
  private int offset;
  private int size;
  private byte[] part = new byte[0];
  private long incarnation;
  private boolean caughtUp;
  private Ballot ballot = Ballot.NONE;
  private Ballot promised = Ballot.NONE;
  private Ballot acceptedIn = Ballot.NONE;
  private final List<Life> lives = new ArrayList<>();

  // ---- fields ----

  /** Reads all fields of a message of any kind. */
  void read(FieldReader in) throws MalformedMessageException {
    while (in.next()) {
      readReportField(in);
      checkListLengths();
    }
  }

  private void readReportField(FieldReader in) throws MalformedMessageException {
    switch (in.field()) {
      case WALL -> wall = in.number();
      case OWN -> own = ValueCodec.standing(in.within());
      case APPLIED -> applied = in.number();
      case DECIDED -> decided = in.number();
      case BASE -> base = in.number();
      case DIGEST -> digest = in.fixed();
      case SPAN -> spans.add(EntryCodec.span(in.within()));
      case OTHER -> others.add(ValueCodec.standing(in.within()));
      default -> readTransferField(in);
    }
  }

  private void readTransferField(FieldReader in) throws MalformedMessageException {
    switch (in.field()) {
      case NUMBER -> number = in.number();
      case MAX_BYTES -> maxBytes = (int) in.number(MAX_REQUESTED);
      case MAX_ENTRIES -> maxEntries = (int) in.number(MAX_REQUESTED);
      case LAST -> last = in.flag();
      case ENTRY -> entries.add(EntryCodec.entry(in.bytes(EntryCodec.MAX_READ_BYTES)));
      case OFFSET -> offset = (int) in.number(MAX_STATE_BYTES);
      case SIZE -> size = (int) in.number(MAX_STATE_BYTES);
      case PART -> part = in.bytes(MAX_PART_BYTES);
      default -> readConsensusField(in);
    }
  }

  private void readConsensusField(FieldReader in) throws MalformedMessageException {
    switch (in.field()) {
      case SLOT -> slot = in.number();
      case CUT -> cuts.add(EntryCodec.cut(in.within()));
      case INCARNATION -> incarnation = in.fixed();
      case CAUGHT_UP -> caughtUp = in.flag();
      case BALLOT -> ballot = ValueCodec.ballot(in.within());
      case PROMISED -> promised = ValueCodec.ballot(in.within());
      case ACCEPTED_IN -> acceptedIn = ValueCodec.ballot(in.within());
      case LIFE -> lives.add(ValueCodec.life(in.within()));
      default -> {
        // Skips a field of a later release.
      }
    }
  }

  private void checkListLengths() throws MalformedMessageException {
    if (spans.size() > MAX_LIST_LENGTH
        || others.size() > MAX_LIST_LENGTH
        || entries.size() > MAX_LIST_LENGTH
        || cuts.size() > MAX_LIST_LENGTH
        || lives.size() > MAX_LIST_LENGTH) {
      throw new MalformedMessageException(
          "message has a list of more than "
              + MAX_LIST_LENGTH
              + " elements: "
              + spans.size()
              + " spans, "
              + others.size()
              + " standings, "
              + entries.size()
              + " events, "
              + cuts.size()
              + " cuts, "
              + lives.size()
              + " incarnations");
    }
  }

  // ---- messages ----

  /** Returns the message of the given kind with the field values read so far. */
  ChannelsMessage toMessage(int kind) throws MalformedMessageException {
    return switch (kind) {
      case KIND_REPORT -> report();
      case KIND_WANT -> new Want(number, maxBytes, maxEntries, spans);
      case KIND_PIECE -> new Piece(number, last, entries);
      case KIND_CUTS_WANTED -> new CutsWanted(slot);
      case KIND_CUTS -> new Cuts(cuts);
      case KIND_SUM_WANTED -> new SumWanted(slot, offset);
      case KIND_SUM_PART -> new SumPart(slot, offset, size, part);
      default -> toConsensusMessage(kind);
    };
  }

  private ChannelsMessage toConsensusMessage(int kind) throws MalformedMessageException {
    return switch (kind) {
      case KIND_ASK -> new Ask(incarnation);
      case KIND_ANSWER -> new Answer(incarnation, caughtUp, decided, promised, acceptedIn, cut());
      case KIND_PREPARE -> new Prepare(ballot, slot);
      case KIND_PROMISE ->
          new Promise(ballot, slot, promised, acceptedIn, cut(), incarnation, lives);
      case KIND_ACCEPT -> accept();
      case KIND_ACCEPTED -> new Accepted(ballot, slot, promised, incarnation, lives);
      default ->
          throw new MalformedMessageException("unknown kind " + kind + " of channels message");
    };
  }

  private Report report() throws MalformedMessageException {
    if (own == null) {
      throw new MalformedMessageException(
          "report lacks the standing of its sender (field " + OWN + ")");
    }
    return new Report(wall, own, applied, decided, base, digest, spans, others);
  }

  private Accept accept() throws MalformedMessageException {
    if (cuts.isEmpty()) {
      throw new MalformedMessageException("accept request lacks a cut (field " + CUT + ")");
    }
    return new Accept(ballot, cut());
  }

  private Cut cut() {
    return cuts.isEmpty() ? null : cuts.get(0);
  }
}
