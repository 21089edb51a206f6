package tillerlink.messages.statements;

/** What a parameter may be. The order is that of the wire: new ones come last. */
public enum ParameterType {
  TEXT,
  INTEGER,
  DECIMAL,
  FLAG,
  DAY
}
