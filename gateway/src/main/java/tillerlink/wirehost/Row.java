package tillerlink.wirehost;

import java.util.List;
import tillerlink.model.Engine.Status;
import tillerlink.plain.Units;

/**
 * One entry of an endpoint list that events name by its number. Lists are shared by all gateways of
 * the process, so an entry has the engine's id and no object of a gateway.
 */
record Row(
    int kind, long startedAt, int zone, Status status, int cell, double weight, String engine) {
  /**
   * Reads an entry.
   *
   * @throws MalformedWireException if it lacks a value
   */
  static Row of(Object raw) {
    if (!(raw instanceof List<?> values)) {
      throw new MalformedWireException("event DefineList: an entry is not an array: " + raw);
    }
    @SuppressWarnings("unchecked")
    Message entry = new Message("DefineList entry", (List<Object>) values);
    Status status =
        switch ((int) entry.number(SimulatorWire.ListEntry.MODE, SimulatorWire.MODE_NAME)) {
          case SimulatorWire.ListEntry.MODE_READY -> Status.READY;
          case SimulatorWire.ListEntry.MODE_DRAINING -> Status.DRAINING;
          default -> Status.GONE;
        };
    return new Row(
        (int) entry.numberOr(SimulatorWire.ListEntry.KIND, 0),
        Units.toTenths(entry.numberOr(SimulatorWire.ListEntry.STARTED_AT, 0)),
        (int) entry.numberOr(SimulatorWire.ListEntry.ZONE, 0),
        status,
        (int) entry.numberOr(SimulatorWire.ListEntry.CELL, 0),
        entry.amountOr(SimulatorWire.ListEntry.WEIGHT, 1),
        entry.text(SimulatorWire.ListEntry.ENGINE, "engine"));
  }
}
