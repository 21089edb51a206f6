package review2;

/** One engine as the name service lists it. */
public record Listed(String id, String zone, String kind, int port, boolean draining, long startedMs) {
  public Listed drained() {
    return new Listed(id, zone, kind, port, true, startedMs);
  }
}
