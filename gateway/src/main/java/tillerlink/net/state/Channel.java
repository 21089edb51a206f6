package tillerlink.net.state;

/**
 * The gateway's end of one network connection. All methods must be called on the event-loop thread.
 * Written bytes are buffered and sent in order at the end of the event-loop iteration.
 */
public interface Channel {
  /** Appends bytes to the output of this connection. */
  void write(byte[] bytes);

  /**
   * Appends bytes to the output of this connection and discards all of them if the first byte
   * cannot be written before a deadline. In that case the owner is notified by {@link
   * Owner#onWriteExpired} instead of {@link Owner#onWritten}. The default implementation ignores
   * the deadline.
   *
   * @param deadline in tenths of a millisecond of the gateway's clock
   */
  default void writeUntil(byte[] bytes, long deadline) {
    write(bytes);
  }

  /**
   * Closes the output once all buffered bytes have been written; no further writes are allowed.
   * Input is still passed to the owner until the peer closes the connection as well, for at most
   * one second.
   */
  void close();

  /** Closes the connection immediately and discards bytes that have not been written. */
  void abort();

  /** Pauses or resumes reading from this connection. */
  void pauseReading(boolean paused);

  /**
   * Returns whether bytes that the peer has sent, or its close of the connection, may wait to be
   * read. A channel that passes on everything at once returns false.
   */
  default boolean mayHaveUnreadInput() {
    return false;
  }

  /** Receives the events of a channel, always on the event-loop thread. */
  interface Owner {
    /** Called when the connection has been established. */
    void onOpened();

    /** Called when bytes have been received. */
    void onBytes(byte[] bytes);

    /** Called when the oldest write that was not reported yet has been written completely. */
    void onWritten();

    /**
     * Called instead of {@link #onWritten()} for a write that had a deadline.
     *
     * @param firstByteAt when the first byte was written, in tenths of a millisecond
     */
    default void onWritten(long firstByteAt) {
      onWritten();
    }

    /** Called when the oldest write not reported yet missed its deadline and was discarded. */
    default void onWriteExpired() {
      onWritten();
    }

    /**
     * Called when another method of this owner has thrown, so that an event was processed in part.
     * The channel is aborted unless the owner ends the connection itself.
     *
     * @return whether the owner has ended the connection
     */
    default boolean endAfterFailure() {
      return false;
    }

    /** Called once when the connection has ended; no other method is called afterwards. */
    void onClosed(DisconnectReason reason);
  }
}
