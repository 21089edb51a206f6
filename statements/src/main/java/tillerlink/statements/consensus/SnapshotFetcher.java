package tillerlink.statements.consensus;

import java.util.Arrays;
import java.util.Optional;
import tillerlink.cluster.KeyValueStore;
import tillerlink.messages.statements.StatementMessage.AskPiece;
import tillerlink.messages.statements.StatementMessage.Piece;

/**
 * The transfer of a snapshot from a voter, piece by piece. A piece that does not arrive is
 * requested again, and in smaller pieces after repeated failures. Times are in tenths of a
 * millisecond.
 */
final class SnapshotFetcher {
  /** Upper bound on the bytes of a piece, and of the entries in an append. */
  static final int LARGE_PIECE_BYTES = 8000;

  /** Upper bound on the same bytes over links that only carry small messages. */
  static final int SMALL_PIECE_BYTES = 900;

  private static final long RETRY_INTERVAL = 2500;

  /** Number of consecutive retries from which small pieces are requested. */
  private static final int SMALL_PIECE_RETRIES_MIN = 2;

  /** Number of consecutive retries after which the transfer is abandoned. */
  private static final int RETRIES_MAX = 20;

  private final Outbox outbox;
  private String source;
  private long index;
  private byte[] bytes;
  private int received;
  private int retries;
  private int pieceSize = LARGE_PIECE_BYTES;
  private long requestedAt;

  SnapshotFetcher(Outbox outbox) {
    this.outbox = outbox;
  }

  boolean isFetching() {
    return source != null;
  }

  /**
   * Starts to fetch the snapshot of a voter, unless it is being fetched already or its size is not
   * between 1 and {@link KeyValueStore#MAX_VALUE_BYTES}. Replaces a fetch of another snapshot.
   */
  void start(long now, String from, long snapshotIndex, long size) {
    boolean alreadyFetching = isFetching() && source.equals(from) && index == snapshotIndex;
    if (alreadyFetching || size > KeyValueStore.MAX_VALUE_BYTES || size <= 0) {
      return;
    }
    source = from;
    index = snapshotIndex;
    bytes = new byte[(int) size];
    received = 0;
    retries = 0;
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
    retries++;
    if (retries > RETRIES_MAX) {
      stop();
    } else {
      pieceSize = retries >= SMALL_PIECE_RETRIES_MIN ? SMALL_PIECE_BYTES : pieceSize;
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

  /**
   * Handles a piece of the snapshot and requests the next one. Ignores pieces that were not
   * requested, and stops the fetch if the snapshot has another size than expected.
   *
   * @return the whole snapshot if this piece completes it; otherwise empty
   */
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
    retries = 0;
    if (received < bytes.length) {
      requestPiece(now);
      return Optional.empty();
    }
    byte[] complete = bytes;
    stop();
    return Optional.of(complete);
  }

  /**
   * Returns the response to a request for a piece of a snapshot.
   *
   * @param index the index of the snapshot that is available here
   * @param snapshot the encoded snapshot
   * @return the piece; of size 0 if another snapshot or an offset beyond its end was requested
   */
  static Piece respond(AskPiece request, long index, byte[] snapshot) {
    long offset = request.offset();
    if (request.index() != index || offset >= snapshot.length) {
      return new Piece(request.index(), offset, 0, new byte[0]);
    }
    int length =
        (int)
            Math.min(
                snapshot.length - offset, Math.max(1, Math.min(request.most(), LARGE_PIECE_BYTES)));
    byte[] part = Arrays.copyOfRange(snapshot, (int) offset, (int) offset + length);
    return new Piece(index, offset, snapshot.length, part);
  }
}
