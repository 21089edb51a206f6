package tillerlink.net.state;

/** One connection as seen from here; what is written goes out at the end of the turn, in order. */
public interface Channel {
  void write(byte[] bytes);

  /**
   * The same, but none of it goes out if its first byte can't before that moment; then the owner
   * hears {@link Owner#onWriteExpired} in place of {@link Owner#onWritten}.
   */
  default void writeUntil(byte[] bytes, long before) {
    write(bytes);
  }

  /**
   * Nothing more is written: once all that was has gone out, the peer is told so. What it still
   * says is told until it ends the connection as well, or a second has passed.
   */
  void close();

  /** Ends it at once. */
  void abort();

  /** Stops or resumes reading from it. */
  void pauseReading(boolean held);

  /** Told of what happens on a channel, always by the one thread that owns the state. */
  interface Owner {
    void onOpened();

    void onBytes(byte[] bytes);

    /** The oldest write that was not yet told of has gone out whole. */
    void onWritten();

    /**
     * The same, told with the time at which its first byte went out; of what was written with a
     * bound.
     */
    default void onWritten(long firstByteAt) {
      onWritten();
    }

    /** The oldest write that was not yet told of was late, and nothing of it has gone out. */
    default void onWriteExpired() {
      onWritten();
    }

    /** Told once; nothing follows. */
    void onClosed(DisconnectReason how);
  }
}
