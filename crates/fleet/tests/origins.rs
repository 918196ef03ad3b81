//! Origins of streams in messages between instances.

use fleet::exchange;

#[test]
fn an_earlier_build_reads_the_origins_of_streams_without_their_lifetimes() {
    let origin = exchange::Origin { service: "engines".into(), software: "v1".into(), run: 0 };
    let (stream, lifetime_ms) = (String::from("s"), Some(65_000));
    let beginning =
        exchange::Beginning { stream: stream.clone(), origin: origin.clone(), lifetime_ms };
    let without = exchange::Beginning { lifetime_ms: None, ..beginning.clone() };
    let keep = |beginning| exchange::Question::KeepOrigins(vec![beginning]);
    let record = |lifetime_ms| {
        let (stream, origin) = (stream.clone(), origin.clone());
        exchange::Question::RecordOrigin { stream, origin, lifetime_ms }
    };
    for (question, earlier) in
        [(keep(beginning), keep(without)), (record(lifetime_ms), record(None))]
    {
        let bytes = exchange::encode_question(&question);
        assert_eq!(exchange::decode(&bytes), Some(earlier.clone()));
        assert_eq!(exchange::decode_question(&bytes), Some(question));
        assert_eq!(exchange::decode_question(&exchange::encode(&earlier)), Some(earlier));
    }
}
