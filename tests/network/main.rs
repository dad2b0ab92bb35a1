//! Integration tests of both fronts and of the connections to targets, over loopback sockets and against
//! scripted servers that misbehave.

mod admin;
mod bodies;
mod deployments;
mod discovery;
mod drain_gossip;
mod floods;
mod handover;
mod harness;
mod http;
mod iscsi;
mod iscsi_client;
mod iscsi_memory;
mod iscsi_request_ids;
mod iscsi_session_ids;
mod iscsi_shutdown;
mod late_connections;
mod lost_site;
mod memory;
mod pending_connects;
mod processes;
mod queued_requests;
mod quota_exchange;
mod repeated_ids;
mod replay;
mod routes;
mod scale;
mod shutdown;
mod slow_responses;
mod stalled_uploads;
mod startup;
mod subset;
mod surplus_responses;
mod truncated_responses;
