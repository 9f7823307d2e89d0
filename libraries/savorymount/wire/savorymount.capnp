@0xc4c1b5c7a2e60f31;

# Messages between savorymount's own processes. Generated code is committed; after a change run
#   capnp compile -oc++ savorymount.capnp
# in this folder (Debian package capnproto).

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("savorymount::wire");

struct Context {
  # Sent with every message, so that configuration and leaving state spread without polling.
  instance @0 :Text;
  version @1 :UInt64;
  # Log offset of the last accepted configuration change that the sender holds.
  leaving @2 :Bool;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Request {
  id @0 :Text;
  workspace @1 :Text;
  keyId @2 :Text;
  # Empty on routes open to all.
  route @3 :Text;
  method @4 :Text;
  target @5 :Text;
  headers @6 :List(Header);
  body @7 :Data;
  repeatable @8 :Bool;
  priority @9 :Int32;
  deadlineMs @10 :UInt32;
  # Time left when the message was sent; zero for none.
  resumeFrom @11 :UInt64;
  promptTokens @12 :UInt64;
  answerTokens @13 :UInt64;
  # Largest answer.
  blocks @14 :List(UInt64);
  # Chained digests of the prompt's blocks.
  model @15 :Text;
  adapter @16 :Text;
  modelVersion @17 :Text;
  stream @18 :Bool;
  requestDigest @19 :Text;
  # Digest of workspace, method, target and body: names the same request when a caller resends it.
  idempotencyKey @20 :Text;
  # SHA-256 of the caller's idempotency key; empty for none.
}

struct LoadReport {
  engine @0 :Text;
  # Process id string of the upstream; changes on each start.
  running @1 :UInt32;
  waiting @2 :UInt32;
  queuedTokens @3 :UInt64;
  cachedBlocks @4 :UInt64;
  ready @5 :Bool;
  models @6 :List(ModelVersion);
}

struct ModelVersion {
  model @0 :Text;
  adapter @1 :Text;
  version @2 :Text;
}

struct Usage {
  promptTokens @0 :UInt64;
  answerTokens @1 :UInt64;
  cachedTokens @2 :UInt64;
}

struct Outcome {
  union {
    completed @0 :Usage;
    refused @1 :Refusal;
    # The request did not run at this agent.
    failed @2 :Failure;
  }
  load @3 :LoadReport;
  cachedBlocks @4 :UInt32;
  # Leading blocks of the request that the engine holds now.
}

struct Refusal {
  kind @0 :Text;
  message @1 :Text;
  retryAfterMs @2 :UInt32;
  # Zero when waiting does not help.
  retryElsewhere @3 :Bool;
  attachInstance @4 :Text;
  # If not empty, another call with the same idempotency key runs there under `attachRequest`.
  attachRequest @5 :Text;
}

struct Failure {
  kind @0 :Text;
  message @1 :Text;
  position @2 :UInt64;
  # Tokens delivered before the failure.
  crashed @3 :Bool;
}

struct Grant {
  id @0 :UInt64;
  tokens @1 :UInt64;
  lifetimeMs @2 :UInt32;
  fence @3 :UInt64;
}

interface Gateway {
  # What an unauthenticated peer reaches. Both sides prove the shared secret over both nonces.
  challenge @0 (nonce :Data) -> (nonce :Data, proof :Text, session :Session);
}

interface Session {
  open @0 (proof :Text, context :Context, peer :Peer) -> (context :Context, peer :Peer);
}

interface Peer {
  ping @0 (context :Context) -> (context :Context, load :LoadReport);
  configuration @1 (context :Context) -> (version :UInt64, documents :Data);
  submit @2 (context :Context, request :Request, sink :AnswerSink) -> (context :Context, outcome :Outcome);
  attach @3 (context :Context, requestId :Text, position :UInt64, sink :AnswerSink, refuseIfAbsent :Bool)
      -> (context :Context, found :Bool, outcome :Outcome);
  # With `refuseIfAbsent` an id that never arrived is refused from now on and answered as not run.
  cancel @4 (context :Context, requestId :Text) -> ();
  reserve @5 (context :Context, workspace :Text, fence :UInt64, tokens :UInt64, least :UInt64)
      -> (context :Context, grant :Grant, retryAfterMs :UInt32, owner :Bool);
  # A grant with zero tokens means refused; `owner` is false if the receiver does not own the bucket
  # under this fencing token.
  settle @6 (context :Context, workspace :Text, fence :UInt64, grantId :UInt64, used :UInt64, unused :UInt64)
      -> (context :Context);
}

interface AnswerSink {
  head @0 (status :UInt16, headers :List(Header)) -> ();
  chunk @1 (position :UInt64, bytes :Data) -> ();
  # Returns once the receiver has room for more. `position` is the number of tokens (or bytes for
  # answers that are not event streams) delivered before this chunk.
}
