package tillerlink.net.state;

/** One connection as seen from here; what is written goes out at the end of the turn, in order. */
public interface Channel {
  void write(byte[] bytes);

  /**
   * The same, but none of it goes out if its first byte can't before that moment; then the owner
   * hears {@link Owner#withheld} in place of {@link Owner#written}.
   */
  default void writeBefore(byte[] bytes, long before) {
    write(bytes);
  }

  /**
   * Nothing more is written: once all that was has gone out, the peer is told so. What it still
   * says is told until it ends the connection as well, or a second has passed.
   */
  void close();

  /** Ends it at once. */
  void drop();

  /** Stops or resumes reading from it. */
  void hold(boolean held);

  /** Told of what happens on a pipe, always by the one thread that owns the state. */
  interface Owner {
    void opened();

    void fed(byte[] bytes);

    /** The oldest write that was not yet told of has gone out whole. */
    void written();

    /**
     * The same, told with the time at which its first byte went out; of what was written with a
     * bound.
     */
    default void written(long firstByteAt) {
      written();
    }

    /** The oldest write that was not yet told of was late, and nothing of it has gone out. */
    default void withheld() {
      written();
    }

    /** Told once; nothing follows. */
    void ended(DisconnectReason how);
  }
}
