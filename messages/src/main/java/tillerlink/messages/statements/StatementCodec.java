package tillerlink.messages.statements;

import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.statements.StatementMessage.Append;
import tillerlink.messages.statements.StatementMessage.Appended;
import tillerlink.messages.statements.StatementMessage.AskLease;
import tillerlink.messages.statements.StatementMessage.AskPiece;
import tillerlink.messages.statements.StatementMessage.AskVote;
import tillerlink.messages.statements.StatementMessage.Busy;
import tillerlink.messages.statements.StatementMessage.Clear;
import tillerlink.messages.statements.StatementMessage.Committed;
import tillerlink.messages.statements.StatementMessage.Fetch;
import tillerlink.messages.statements.StatementMessage.Hello;
import tillerlink.messages.statements.StatementMessage.Lease;
import tillerlink.messages.statements.StatementMessage.Offer;
import tillerlink.messages.statements.StatementMessage.Piece;
import tillerlink.messages.statements.StatementMessage.Propose;
import tillerlink.messages.statements.StatementMessage.Release;
import tillerlink.messages.statements.StatementMessage.Seen;
import tillerlink.messages.statements.StatementMessage.Vote;

/**
 * Encodes and decodes messages about prepared statements. A field has the same number in all
 * messages; see {@link StatementFields}.
 */
public final class StatementCodec {
  private StatementCodec() {}

  /**
   * Decodes a message.
   *
   * @throws MalformedMessageException if the bytes are not a valid message, or its kind is unknown
   *     to this release
   */
  public static StatementMessage read(byte[] bytes) throws MalformedMessageException {
    StatementFields fields = new StatementFields();
    fields.read(new FieldReader(bytes));
    return fields.toMessage();
  }

  /** Encodes a message. */
  public static byte[] write(StatementMessage message) {
    FieldWriter out = new FieldWriter();
    writeElectionMessage(message, out);
    return out.done();
  }

  private static void writeElectionMessage(StatementMessage message, FieldWriter out) {
    if (message instanceof Hello hello) {
      writeHello(hello, out);
    } else if (message instanceof Seen seen) {
      writeSeen(seen, out);
    } else if (message instanceof AskVote request) {
      writeAskVote(request, out);
    } else if (message instanceof Vote vote) {
      writeVote(vote, out);
    } else {
      writeReplicationMessage(message, out);
    }
  }

  private static void writeReplicationMessage(StatementMessage message, FieldWriter out) {
    if (message instanceof Append append) {
      writeAppend(append, out);
    } else if (message instanceof Appended appended) {
      writeAppended(appended, out);
    } else if (message instanceof Offer offer) {
      writeOffer(offer, out);
    } else if (message instanceof AskPiece request) {
      writeAskPiece(request, out);
    } else if (message instanceof Piece piece) {
      writePiece(piece, out);
    } else if (message instanceof Fetch fetch) {
      writeFetch(fetch, out);
    } else if (message instanceof Committed committed) {
      writeCommitted(committed, out);
    } else {
      writeLeaseMessage(message, out);
    }
  }

  private static void writeLeaseMessage(StatementMessage message, FieldWriter out) {
    if (message instanceof Propose propose) {
      writePropose(propose, out);
    } else if (message instanceof AskLease request) {
      writeAskLease(request, out);
    } else if (message instanceof Lease lease) {
      writeLease(lease, out);
    } else if (message instanceof Release release) {
      writeRelease(release, out);
    } else if (message instanceof Clear clear) {
      writeClear(clear, out);
    } else if (message instanceof Busy busy) {
      writeBusy(busy, out);
    }
  }

  // ---- voters and elections ----

  private static void writeHello(Hello hello, FieldWriter out) {
    out.number(StatementFields.KIND, StatementFields.KIND_HELLO)
        .within(StatementFields.STAMP, StampCodec.stamp(hello.stamp()))
        .fixed(StatementFields.NONCE, hello.nonce())
        .number(StatementFields.STAGE, hello.stage().number());
  }

  private static void writeSeen(Seen seen, FieldWriter out) {
    out.number(StatementFields.KIND, StatementFields.KIND_SEEN)
        .within(StatementFields.STAMP, StampCodec.stamp(seen.stamp()))
        .fixed(StatementFields.NONCE, seen.nonce())
        .number(StatementFields.STAGE, seen.stage().number())
        .number(StatementFields.KNOWN_BOOTS, seen.known())
        .number(StatementFields.KNOWN_TERM, seen.mark())
        .number(StatementFields.MATCH, seen.match())
        .number(StatementFields.TERM, seen.term())
        .number(StatementFields.LAST_TERM, seen.lastTerm())
        .number(StatementFields.LAST_INDEX, seen.lastIndex())
        .number(StatementFields.VERSION, seen.version());
    RepeatedFields.numbers(out, StatementFields.PLEDGE, seen.pledge());
    RepeatedFields.numbers(out, StatementFields.MEMBERS, seen.members());
  }

  private static void writeAskVote(AskVote request, FieldWriter out) {
    out.number(StatementFields.KIND, StatementFields.KIND_ASK_VOTE)
        .within(StatementFields.STAMP, StampCodec.stamp(request.stamp()))
        .number(StatementFields.TERM, request.term())
        .number(StatementFields.LAST_TERM, request.lastTerm())
        .number(StatementFields.LAST_INDEX, request.lastIndex())
        .flag(StatementFields.PRE_VOTE, request.pre());
  }

  private static void writeVote(Vote vote, FieldWriter out) {
    out.number(StatementFields.KIND, StatementFields.KIND_VOTE)
        .within(StatementFields.STAMP, StampCodec.stamp(vote.stamp()))
        .number(StatementFields.TERM, vote.term())
        .flag(StatementFields.PRE_VOTE, vote.pre())
        .flag(StatementFields.VOTE_GRANTED, vote.given());
  }

  // ---- replication of the log and snapshots ----

  private static void writeAppend(Append append, FieldWriter out) {
    out.number(StatementFields.KIND, StatementFields.KIND_APPEND)
        .within(StatementFields.STAMP, StampCodec.stamp(append.stamp()))
        .number(StatementFields.TERM, append.term())
        .number(StatementFields.SEQUENCE, append.sequence())
        .number(StatementFields.PREV_INDEX, append.prevIndex())
        .number(StatementFields.PREV_TERM, append.prevTerm())
        .number(StatementFields.COMMIT, append.commit());
    append
        .entries()
        .forEach(entry -> out.within(StatementFields.ENTRIES, CommandCodec.entry(entry)));
  }

  private static void writeAppended(Appended appended, FieldWriter out) {
    out.number(StatementFields.KIND, StatementFields.KIND_APPENDED)
        .within(StatementFields.STAMP, StampCodec.stamp(appended.stamp()))
        .number(StatementFields.TERM, appended.term())
        .number(StatementFields.SEQUENCE, appended.sequence())
        .flag(StatementFields.PREV_ENTRY_MATCHES, appended.fits())
        .number(StatementFields.MATCH, appended.match());
  }

  private static void writeOffer(Offer offer, FieldWriter out) {
    out.number(StatementFields.KIND, StatementFields.KIND_OFFER)
        .within(StatementFields.STAMP, StampCodec.stamp(offer.stamp()))
        .number(StatementFields.TERM, offer.term())
        .number(StatementFields.INDEX, offer.index())
        .number(StatementFields.SIZE, offer.size());
  }

  private static void writeAskPiece(AskPiece request, FieldWriter out) {
    out.number(StatementFields.KIND, StatementFields.KIND_ASK_PIECE)
        .number(StatementFields.INDEX, request.index())
        .number(StatementFields.OFFSET, request.offset())
        .number(StatementFields.MAX_BYTES, request.most());
  }

  private static void writePiece(Piece piece, FieldWriter out) {
    out.number(StatementFields.KIND, StatementFields.KIND_PIECE)
        .number(StatementFields.INDEX, piece.index())
        .number(StatementFields.OFFSET, piece.offset())
        .number(StatementFields.SIZE, piece.size())
        .bytes(StatementFields.BYTES, piece.bytes());
  }

  private static void writeFetch(Fetch fetch, FieldWriter out) {
    out.number(StatementFields.KIND, StatementFields.KIND_FETCH)
        .number(StatementFields.FROM, fetch.from());
  }

  private static void writeCommitted(Committed committed, FieldWriter out) {
    out.number(StatementFields.KIND, StatementFields.KIND_COMMITTED)
        .number(StatementFields.FROM, committed.from())
        .number(StatementFields.COMMIT, committed.commit())
        .number(StatementFields.SNAPSHOT, committed.snapshot())
        .number(StatementFields.SIZE, committed.size());
    committed
        .entries()
        .forEach(entry -> out.within(StatementFields.ENTRIES, CommandCodec.entry(entry)));
  }

  // ---- proposals and leases ----

  private static void writePropose(Propose propose, FieldWriter out) {
    out.number(StatementFields.KIND, StatementFields.KIND_PROPOSE)
        .fixed(StatementFields.ORIGIN, propose.origin())
        .number(StatementFields.NUMBER, propose.number())
        .within(StatementFields.COMMAND, CommandCodec.command(propose.command()))
        .flag(StatementFields.FORWARDED, propose.onward());
  }

  private static void writeAskLease(AskLease request, FieldWriter out) {
    out.number(StatementFields.KIND, StatementFields.KIND_ASK_LEASE)
        .fixed(StatementFields.HOLDER, request.holder())
        .number(StatementFields.SEQUENCE, request.sequence());
    RepeatedFields.versions(out, StatementFields.GROUPS, request.groups());
  }

  private static void writeLease(Lease lease, FieldWriter out) {
    out.number(StatementFields.KIND, StatementFields.KIND_LEASE)
        .fixed(StatementFields.HOLDER, lease.holder())
        .number(StatementFields.SEQUENCE, lease.sequence())
        .fixed(StatementFields.DISK, lease.disk())
        .number(StatementFields.VERSION, lease.version())
        .number(StatementFields.COMMIT, lease.commit());
    RepeatedFields.numbers(out, StatementFields.MEMBERS, lease.members());
    RepeatedFields.versions(out, StatementFields.GRANTED, lease.granted());
    RepeatedFields.integers(out, StatementFields.BLOCKED, lease.blocked());
  }

  private static void writeRelease(Release release, FieldWriter out) {
    out.number(StatementFields.KIND, StatementFields.KIND_RELEASE)
        .fixed(StatementFields.HOLDER, release.holder())
        .number(StatementFields.SEQUENCE, release.sequence());
    RepeatedFields.integers(out, StatementFields.RELEASED, release.groups());
  }

  private static void writeClear(Clear clear, FieldWriter out) {
    out.number(StatementFields.KIND, StatementFields.KIND_CLEAR)
        .within(StatementFields.STAMP, StampCodec.stamp(clear.stamp()));
    RepeatedFields.numbers(out, StatementFields.CHANGES, clear.changes());
  }

  private static void writeBusy(Busy busy, FieldWriter out) {
    out.number(StatementFields.KIND, StatementFields.KIND_BUSY)
        .fixed(StatementFields.ORIGIN, busy.origin())
        .number(StatementFields.NUMBER, busy.number())
        .text(StatementFields.REASON, busy.words());
  }
}
