package tillerlink.wirehost;

import java.util.List;
import tillerlink.model.Engine.Status;
import tillerlink.plain.Units;

/**
 * One entry of a numbered list; it belongs to the process, so it holds an id and no object of any
 * gateway.
 */
record Row(
    int kind, long startedAt, int zone, Status standing, int cell, double weight, String engine) {
  static Row of(Object raw) {
    if (!(raw instanceof List<?> values)) {
      throw new MalformedWireException("event DefineList: an entry is not an array: " + raw);
    }
    @SuppressWarnings("unchecked")
    Message entry = new Message("DefineList entry", (List<Object>) values);
    Status standing =
        switch ((int) entry.number(3, "mode")) {
          case 1 -> Status.READY;
          case 2 -> Status.DRAINING;
          default -> Status.GONE;
        };
    return new Row(
        (int) entry.numberOr(0, 0),
        Units.toTenths(entry.numberOr(1, 0)),
        (int) entry.numberOr(2, 0),
        standing,
        (int) entry.numberOr(4, 0),
        entry.amountOr(5, 1),
        entry.text(6, "engine"));
  }
}
