package tillerlink.net.state;

/**
 * One connection as seen from here. Used on the event-loop thread alone; what is written goes out
 * at the end of the iteration, in order.
 */
public interface Channel {
  /** Writes bytes. */
  void write(byte[] bytes);

  /**
   * Writes bytes, but none of them if the first can't be written before that moment; then the owner
   * gets {@link Owner#onWriteExpired} in place of {@link Owner#onWritten}.
   *
   * @param before tenths of a millisecond
   */
  default void writeUntil(byte[] bytes, long before) {
    write(bytes);
  }

  /**
   * Nothing more is written: once everything has been written, the output ends. What the peer still
   * sends is passed on until it ends the connection as well, or a second has passed.
   */
  void close();

  /** Ends it at once. */
  void abort();

  /** Pauses or resumes reading from it. */
  void pauseReading(boolean paused);

  /** Notified of what happens on a channel, always on the event-loop thread. */
  interface Owner {
    /** The connection has opened. */
    void onOpened();

    /** Bytes were received. */
    void onBytes(byte[] bytes);

    /** The oldest write that was not yet reported has been written whole. */
    void onWritten();

    /**
     * The same, for a write with a bound.
     *
     * @param firstByteAt when its first byte was written, in tenths of a millisecond
     */
    default void onWritten(long firstByteAt) {
      onWritten();
    }

    /** The oldest write that was not yet reported was late, and nothing of it was written. */
    default void onWriteExpired() {
      onWritten();
    }

    /** The connection has ended; called once, and nothing follows. */
    void onClosed(DisconnectReason how);
  }
}
