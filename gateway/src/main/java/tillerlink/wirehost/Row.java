package tillerlink.wirehost;

import java.util.List;
import tillerlink.model.Engine.Status;
import tillerlink.plain.Units;

/**
 * One entry of a numbered endpoint list. Lists are shared by all gateways of the process, so an
 * entry contains the engine's id and no object that belongs to a gateway.
 *
 * @param kind the index of the engine's kind
 * @param startedAt the start time of the engine's process, in tenths of a millisecond; 0 if it
 *     started long ago
 * @param zone the index of the engine's zone
 * @param status the status of the engine's process
 * @param cell the index of the engine's cell
 * @param weight the engine's weight in the list
 * @param engine the engine's id
 */
record Row(
    int kind, long startedAt, int zone, Status status, int cell, double weight, String engine) {
  /**
   * Creates an entry from a parsed JSON value.
   *
   * @throws MalformedWireException if it is not an array, or its mode or engine id is missing
   */
  static Row of(Object raw) {
    if (!(raw instanceof List<?> values)) {
      throw new MalformedWireException(
          "event DefineList: expected an entry as an array, got " + raw);
    }
    @SuppressWarnings("unchecked")
    Message entry = new Message("DefineList entry", (List<Object>) values);
    Status status =
        switch ((int) entry.number(SimulatorWire.ListEntry.STATUS, SimulatorWire.MODE_NAME)) {
          case SimulatorWire.ListEntry.STATUS_READY -> Status.READY;
          case SimulatorWire.ListEntry.STATUS_DRAINING -> Status.DRAINING;
          default -> Status.GONE;
        };
    return new Row(
        (int) entry.numberOr(SimulatorWire.ListEntry.KIND, 0),
        Units.toTenths(entry.numberOr(SimulatorWire.ListEntry.STARTED_AT, 0)),
        (int) entry.numberOr(SimulatorWire.ListEntry.ZONE, 0),
        status,
        (int) entry.numberOr(SimulatorWire.ListEntry.CELL, 0),
        entry.decimalOr(SimulatorWire.ListEntry.WEIGHT, 1),
        entry.text(SimulatorWire.ListEntry.ENGINE, "engine"));
  }
}
