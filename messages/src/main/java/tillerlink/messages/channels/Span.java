package tillerlink.messages.channels;

/** Events of one incarnation, from one sequence number to another, both counted. */
public record Span(long incarnation, long from, long to) {
  public long size() {
    return to - from + 1;
  }
}
