package tillerlink.statements.consensus;

import java.util.Arrays;
import java.util.Optional;
import tillerlink.cluster.KeyValueStore;
import tillerlink.messages.statements.StatementMessage.AskPiece;
import tillerlink.messages.statements.StatementMessage.Piece;

/**
 * Fetches a snapshot in pieces, one after the other; a piece that does not come is asked for again,
 * in smaller ones. Times are in tenths of a millisecond.
 */
final class SnapshotFetcher {
  /** Bytes of a piece, or of the entries of an append. */
  static final int LARGE = 8000;

  /** The same over links that carry small messages only. */
  static final int SMALL = 900;

  private static final long RETRY_INTERVAL = 2500;
  private static final int TRIES_LARGE_MAX = 2;
  private static final int TRIES_MAX = 20;

  private final Outbox outbox;
  private String source;
  private long index;
  private byte[] bytes;
  private int received;
  private int tries;
  private int pieceSize = LARGE;
  private long requestedAt;

  SnapshotFetcher(Outbox outbox) {
    this.outbox = outbox;
  }

  boolean isFetching() {
    return source != null;
  }

  /** Begins to fetch that voter's snapshot, unless it is being fetched already. */
  void start(long now, String from, long snapshotIndex, long size) {
    boolean already = isFetching() && source.equals(from) && index == snapshotIndex;
    if (already || size > KeyValueStore.MAX_VALUE_BYTES || size <= 0) {
      return;
    }
    source = from;
    index = snapshotIndex;
    bytes = new byte[(int) size];
    received = 0;
    tries = 0;
    requestPiece(now);
  }

  private void requestPiece(long now) {
    requestedAt = now;
    outbox.send(source, new AskPiece(index, received, pieceSize));
  }

  void tick(long now) {
    if (!isFetching() || now < requestedAt + RETRY_INTERVAL) {
      return;
    }
    tries++;
    if (tries > TRIES_MAX) {
      stop();
    } else {
      pieceSize = tries >= TRIES_LARGE_MAX ? SMALL : pieceSize;
      requestPiece(now);
    }
  }

  long nextDueAt() {
    return isFetching() ? requestedAt + RETRY_INTERVAL : Long.MAX_VALUE;
  }

  private void stop() {
    source = null;
    bytes = null;
  }

  /** Takes a piece; returns the whole snapshot once it is complete. */
  Optional<byte[]> onPiece(long now, String from, Piece piece) {
    if (!from.equals(source) || piece.index() != index) {
      return Optional.empty();
    }
    if (piece.size() != bytes.length) {
      stop();
      return Optional.empty();
    }
    int length = piece.bytes().length;
    if (piece.offset() != received || length == 0 || received + length > bytes.length) {
      return Optional.empty();
    }
    System.arraycopy(piece.bytes(), 0, bytes, received, length);
    received += length;
    tries = 0;
    if (received < bytes.length) {
      requestPiece(now);
      return Optional.empty();
    }
    byte[] whole = bytes;
    stop();
    return Optional.of(whole);
  }

  /** The response to a request for a piece of the snapshot at that index. */
  static Piece respond(AskPiece request, long index, byte[] snapshot) {
    long offset = request.offset();
    if (request.index() != index || offset >= snapshot.length) {
      return new Piece(request.index(), offset, 0, new byte[0]);
    }
    int length =
        (int) Math.min(snapshot.length - offset, Math.max(1, Math.min(request.most(), LARGE)));
    byte[] part = Arrays.copyOfRange(snapshot, (int) offset, (int) offset + length);
    return new Piece(index, offset, snapshot.length, part);
  }
}
