package tillerlink.statements.consensus;

import java.util.Arrays;
import tillerlink.cluster.KeyValueStore;
import tillerlink.messages.statements.StatementMessage;

/**
 * Fetches a snapshot by pieces, one after the other; what stays out is asked for again, in smaller
 * pieces.
 */
final class SnapshotFetcher {
  static final int LARGE = 8000;
  static final int SMALL = 900;
  private static final long AGAIN = 2500;
  private static final int TRIES_MOST = 20;

  private final Outbox out;
  private String from;
  private long index;
  private byte[] bytes;
  private int got;
  private int tries;
  private int most = LARGE;
  private long askedAt;

  SnapshotFetcher(Outbox out) {
    this.out = out;
  }

  boolean isFetching() {
    return from != null;
  }

  void start(long now, String other, long at, long size) {
    if (from != null && from.equals(other) && index == at
        || size > KeyValueStore.MAX_VALUE_BYTES
        || size <= 0) {
      return;
    }
    from = other;
    index = at;
    bytes = new byte[(int) size];
    got = 0;
    tries = 0;
    ask(now);
  }

  private void ask(long now) {
    askedAt = now;
    out.send(from, new StatementMessage.AskPiece(index, got, most));
  }

  void turn(long now) {
    if (from == null || now < askedAt + AGAIN) {
      return;
    }
    tries++;
    if (tries > TRIES_MOST) {
      stop();
    } else {
      most = tries >= 2 ? SMALL : most;
      ask(now);
    }
  }

  long dueAt() {
    return from == null ? Long.MAX_VALUE : askedAt + AGAIN;
  }

  void stop() {
    from = null;
    bytes = null;
  }

  /**
   * @return the whole, once it is there; null otherwise
   */
  byte[] took(long now, String other, StatementMessage.Piece piece) {
    if (!other.equals(from) || piece.index() != index) {
      return null;
    }
    if (piece.size() != bytes.length) {
      stop();
      return null;
    }
    if (piece.offset() != got
        || piece.bytes().length == 0
        || got + piece.bytes().length > bytes.length) {
      return null;
    }
    System.arraycopy(piece.bytes(), 0, bytes, got, piece.bytes().length);
    got += piece.bytes().length;
    tries = 0;
    if (got < bytes.length) {
      ask(now);
      return null;
    }
    byte[] whole = bytes;
    stop();
    return whole;
  }

  static StatementMessage.Piece answer(StatementMessage.AskPiece ask, long index, byte[] whole) {
    if (ask.index() != index || ask.offset() >= whole.length) {
      return new StatementMessage.Piece(ask.index(), ask.offset(), 0, new byte[0]);
    }
    int length =
        (int) Math.min(whole.length - ask.offset(), Math.max(1, Math.min(ask.most(), LARGE)));
    byte[] part = Arrays.copyOfRange(whole, (int) ask.offset(), (int) ask.offset() + length);
    return new StatementMessage.Piece(index, ask.offset(), whole.length, part);
  }
}
