@0xc3b1f0a9d4e27715;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("savorymount::wire");

# What a gateway instance tells the others in one datagram. Totals are cumulative, so a lost
# datagram is made up for by the next one.
struct PeerReport {
  instance @0 :Text;
  incarnation @1 :Text;
  sequence @2 :UInt64;
  # Tokens that this process admitted since its start, by workspace.
  admitted @3 :List(AdmittedTokens);
  # What its requests take up at the upstreams now.
  use @4 :List(UpstreamUse);
  # Engines that load new weights by order of this instance.
  loads @5 :List(WeightLoad);
  # Requests during which an upstream was lost, of the last seconds.
  crashes @6 :List(CrashNotice);
  # Shared parts of prompts that engines were sent to read since the last report.
  reads @7 :List(EngineReads);
  # Where the sender takes reports, as IP:port.
  address @8 :Text;
  # The process ends now; its share belongs to the others.
  leaving @9 :Bool;
  # Time since the process started.
  uptimeMilliseconds @10 :UInt64;
  # Only loads and crashes are told; what was told before of the rest still holds.
  partial @11 :Bool;
  # The sender holds the duty to order weights, by the record at this offset of the store's topic.
  holdsDuty @12 :Bool;
  dutyOffset @13 :UInt64;
  # Data centre of the sender.
  dataCentre @14 :Text;
  # Reports of other instances of the sender's data centre, for the other data centres.
  relayed @15 :List(PeerReport);
  # What the sender read from the store, for the other instances of its data centre.
  storeUpdates @16 :List(StoreUpdate);
  # How well the sender can carry the traffic of its data centre.
  relayWeight @17 :UInt32;
  # Requests that ran on an upstream when its connection was lost, with their shared prompt parts.
  losses @18 :List(UpstreamLoss);
  # Prompt parts of such requests with which the sender completed a response.
  soundParts @19 :List(SoundPart);
  # Limits that upstreams named to the sender lately, or their ends.
  limits @20 :List(UpstreamLimit);
  # Era of the store to which `dutyOffset` belongs; 0 from a sender that does not tell.
  dutyEra @21 :UInt64;
  # Version of the configuration in force at the sender.
  configuration @22 :UInt64;
  # Streams that began at the sender while upstreams of several software versions serve.
  streams @23 :List(StreamOrigin);
}

struct StoreUpdate {
  topic @0 :Text;
  # The update covers the offsets from `begin` to before `end`.
  begin @1 :UInt64;
  end @2 :UInt64;
  # Only records that change something; the others in the range repeat what was known.
  records @3 :List(StoreRecord);
  # Records were left out because they are too large for a datagram.
  incomplete @4 :Bool;
  # The update is the last one of a read.
  endsRead @5 :Bool;
  # With `endsRead`: how long ago the sender knew every record of the topic.
  ageMilliseconds @6 :UInt32;
  # Era of the store in which it was read; 0 if it is not known.
  era @7 :UInt64;
}

struct StoreRecord {
  key @0 :Text;
  value @1 :Data;
  # The record deletes the key.
  deleted @2 :Bool;
  offset @3 :UInt64;
}

struct EngineReads {
  upstream @0 :Text;
  digests @1 :List(UInt64);
}

struct AdmittedTokens {
  workspace @0 :Text;
  tokens @1 :Float64;
}

struct StreamOrigin {
  # Digest of the id of the request that brought the first event.
  stream @0 :UInt64;
  service @1 :Text;
  softwareVersion @2 :Text;
}

struct UpstreamUse {
  upstream @0 :Text;
  requests @1 :UInt32;
  tokens @2 :Float64;
}

struct WeightLoad {
  upstream @0 :Text;
  model @1 :Text;
  version @2 :UInt64;
  remainingMicroseconds @3 :UInt32;
  # The engine does not load yet, but gets no new requests. With a version, it was ordered to load
  # it, and whether it does so is not known.
  emptying @4 :Bool;
}

struct CrashNotice {
  digest @0 :Text;
  upstream @1 :Text;
}

struct UpstreamLoss {
  upstream @0 :Text;
  request @1 :UInt64;
  parts @2 :List(UInt64);
  ageMilliseconds @3 :UInt32;
}

struct SoundPart {
  part @0 :UInt64;
  # Age of the newest completed response.
  ageMilliseconds @1 :UInt32;
}

struct UpstreamLimit {
  upstream @0 :Text;
  # Meaningless if the limit ended.
  requestsPerSecond @1 :Float64;
  ended @2 :Bool;
  ageMilliseconds @3 :UInt32;
}
